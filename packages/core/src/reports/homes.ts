/** Finds a key's home and the VMs that stand in for it while it can't be reached. */
import { HomeRanking } from "../membership/queries/home.ts";
import type { Member, MembershipView } from "../membership/types.ts";

/** Rankings of shards by key and count; a view that changes is another object. */
const shardRankings = new WeakMap<readonly Member[], Map<string, Member[]>>();

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

/** Does the same for the key of a shard, and remembers it; shards are few and asked for all the time. */
export function rankShardHomes(
  view: MembershipView,
  shardKey: string,
  count: number,
): Member[] {
  const members = view.members();
  const known = shardRankings.get(members) ?? new Map<string, Member[]>();
  shardRankings.set(members, known);
  const name = `${count} ${shardKey}`;
  const ranked = known.get(name) ?? rankHomes(view, shardKey, count);
  known.set(name, ranked);
  return ranked;
}
