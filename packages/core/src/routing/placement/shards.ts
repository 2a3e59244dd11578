/** Splits the engines of a service among the VMs that keep their books. */
import type { EndpointRecord } from "../endpoint_record.ts";

/** Engines whose book one VM keeps; its cost then doesn't grow with the pool. */
const ENGINES_PER_SHARD = 16;

/** Shards of a pool of so many engines. */
export function shardCountOf(engines: number): number {
  return Math.max(1, Math.ceil(engines / ENGINES_PER_SHARD));
}

/** The part of the engines that belongs to a shard; each stage is dealt out evenly. */
export function selectShardEngines(
  engines: readonly EndpointRecord[],
  options: { shard: number; shardCount: number },
): EndpointRecord[] {
  const { shard, shardCount } = options;
  if (shardCount === 1) return [...engines];
  return [...engines]
    .sort((a, b) => (a.entry.id < b.entry.id ? -1 : 1))
    .filter((_, index) => index % shardCount === shard);
}
