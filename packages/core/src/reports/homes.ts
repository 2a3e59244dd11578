/**
 * Finds a key's home, which is the VM that rendezvous hashing picks for it, and
 * the VMs that take over while the home is unreachable.
 */
import { HomeRanking } from "../membership/queries/home.ts";
import type { Member, MembershipView } from "../membership/types.ts";

/** Shard rankings by count and key, cached per members array; a view that changes has a new array. */
const shardRankings = new WeakMap<readonly Member[], Map<string, Member[]>>();

/**
 * Lists up to `count` VMs: a key's home, then the VMs that become its home in turn
 * when those before them leave the view.
 */
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

/** Like {@link rankHomes} for a shard's key, but cached: shards are few and looked up often. */
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
