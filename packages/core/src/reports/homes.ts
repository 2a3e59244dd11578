/**
 * Finds a key's home, which is the VM that rendezvous hashing picks for it, and
 * the VMs that take over while the home is unreachable.
 */
import { HomeRanking } from "../membership/queries/home.ts";
import type { Member, MembershipView } from "../membership/types.ts";

/** Shard rankings by count and key. A view that changes has a new members array, so its cache starts empty. */
const shardRankings = new WeakMap<readonly Member[], Map<string, Member[]>>();

/** Lists a key's home and the VMs that would be home next if those before left the view; `count` at most. */
export function rankHomes(
  view: MembershipView,
  key: string,
  count: number,
): Member[] {
  const ranked = [view.homeOf(key)];
  while (ranked.length < count) {
    const candidates = view.members().filter((member) =>
      member.state === "live" && member.region === view.self.region &&
      !ranked.some((one) => one.id === member.id)
    );
    const next = new HomeRanking(candidates).homeOf(key);
    if (!next) break;
    ranked.push(next);
  }
  return ranked;
}

/** Like {@link rankHomes} for a shard's key, but cached: there are few shards, and they are looked up constantly. */
export function rankShardHomes(
  view: MembershipView,
  shardKey: string,
  count: number,
): Member[] {
  const members = view.members();
  const cached = shardRankings.get(members) ?? new Map<string, Member[]>();
  shardRankings.set(members, cached);
  const cacheKey = `${count} ${shardKey}`;
  const ranked = cached.get(cacheKey) ?? rankHomes(view, shardKey, count);
  cached.set(cacheKey, ranked);
  return ranked;
}
