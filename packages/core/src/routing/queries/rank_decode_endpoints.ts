/** Orders decode endpoints for a new stream. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";

/** Options of {@link rankDecodeEndpoints}. */
export interface RankDecodeOptions {
  dataCentre: DataCentre;
  avoid: ReadonlySet<EndpointId>;
  nowMs: number;
  random: () => number;
}

/** Those first that have room, are sound, and hold least of this VM's work. */
export function rankDecodeEndpoints(
  usable: readonly EndpointRecord[],
  options: RankDecodeOptions,
): EndpointRecord[] {
  const { avoid, nowMs, random } = options;
  return usable
    .filter(({ entry }) => !avoid.has(entry.id))
    .map((endpoint) => ({
      endpoint,
      sound: endpoint.isHealthy(nowMs) ? 0 : 1,
      full: endpoint.isFull(nowMs) ? 1 : 0,
      tokens: endpoint.inFlightTokens,
      tie: random(),
    }))
    .sort((a, b) =>
      a.sound - b.sound || a.full - b.full || a.tokens - b.tokens ||
      a.tie - b.tie
    )
    .map(({ endpoint }) => endpoint);
}
