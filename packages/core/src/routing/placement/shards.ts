/** Splits the engines of a service into shards, each with a home VM that tracks its load. */

/** Limits the engines per shard, so that the cost of one placement doesn't grow with the service. */
const ENGINES_PER_SHARD = 16;

/** Returns the number of shards for a service with this many engines, at least 1. */
export function shardCountOf(engines: number): number {
  return Math.max(1, Math.ceil(engines / ENGINES_PER_SHARD));
}

/**
 * Returns the shard of an engine. It depends on the engine's id only, so that VMs that
 * differ about other engines agree on it.
 */
export function shardOfEngine(
  { idHash }: { readonly idHash: number },
  shardCount: number,
): number {
  return idHash % shardCount;
}
