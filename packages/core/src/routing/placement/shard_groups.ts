/** Groups the engines that a stream may use by the shard to which they belong. */
import type { ServiceName } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { Shard } from "./load_reports.ts";
import { shardOfEngine } from "./shards.ts";

/** Engines of one shard. */
export interface ShardGroup {
  readonly shard: Shard;
  readonly engines: EndpointRecord[];
}

/** Returns the engines of a service by shard, in the order of the first engine of each. */
export function groupByShard(
  engines: readonly EndpointRecord[],
  { service, shardCount }: { service: ServiceName; shardCount: number },
): ShardGroup[] {
  const groups = new Map<number, ShardGroup>();
  for (const record of engines) {
    const shard = shardOfEngine(record, shardCount);
    const group = groups.get(shard) ??
      { shard: { service, shard, shardCount }, engines: [] };
    group.engines.push(record);
    groups.set(shard, group);
  }
  return [...groups.values()];
}
