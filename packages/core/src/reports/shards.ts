/** Pool shards and the VMs that may look after them. */
import type { Member, MembershipView } from "../membership/types.ts";
import { rankByRendezvous } from "../shared/hash.ts";
import type { ModelName } from "../shared/ids.ts";

/** VMs that take a shard's home's place in turn, the home included. */
const MAX_STAND_INS = 3;

/** The key that decides which VM is a model's shard home. */
export function shardKey(model: ModelName): string {
  return `shard/${model}`;
}

/** The shard's home: grants its slots, polls its reports and sweeps its orphans. */
export function shardHome(view: MembershipView, model: ModelName): Member {
  return view.homeOf(shardKey(model));
}

/** Lists the shard's home and the VMs that stand in for it, in turn. */
export function rankShardHomes(
  view: MembershipView,
  model: ModelName,
): Member[] {
  const home = shardHome(view, model);
  const live = view.members().filter((member) =>
    member.state === "live" && member.region === view.self.region &&
    member.id !== home.id
  );
  const ranked = rankByRendezvous(
    shardKey(model),
    live.map((member) => member.id),
  );
  const others = ranked.flatMap((id) => view.member(id) ?? []);
  return [home, ...others].slice(0, MAX_STAND_INS);
}
