/** Finds a key's home and the VMs that stand in for it while it can't be reached. */
import { HomeRanking } from "../membership/queries/home.ts";
import type { Member, MembershipView } from "../membership/types.ts";

/** Lists a key's home and those that follow when it drops out of the view. */
export function rankHomes(
  view: MembershipView,
  key: string,
  count: number,
): Member[] {
  const ranked = [view.homeOf(key)];
  while (ranked.length < count) {
    const left = view.members().filter((member) =>
      member.state === "live" && member.region === view.self.region &&
      !ranked.some((one) => one.id === member.id)
    );
    const next = new HomeRanking(left).homeOf(key);
    if (!next) break;
    ranked.push(next);
  }
  return ranked;
}
