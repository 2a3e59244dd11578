/** Splits the engines of a service into shards, each with a home VM that tracks its load. */
import type { EndpointRecord } from "../endpoint_record.ts";

/** Limits the engines per shard, so that the cost of one placement doesn't grow with the service. */
const ENGINES_PER_SHARD = 16;

/** Returns the number of shards for a service with this many engines, at least 1. */
export function shardCountOf(engines: number): number {
  return Math.max(1, Math.ceil(engines / ENGINES_PER_SHARD));
}

/**
 * Returns the engines of one shard, assigned round-robin in the order of their
 * ids. Called with the engines of one stage, it splits that stage evenly.
 */
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
