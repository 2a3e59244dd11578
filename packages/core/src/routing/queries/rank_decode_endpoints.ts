/** Ranks decode endpoints for a new stream. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import { ownRelativeSpeeds } from "../placement/own_speeds.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { SoftwareVersion } from "../types.ts";

/** Options of {@link rankDecodeEndpoints}. */
export interface RankDecodeOptions {
  dataCentre: DataCentre;
  avoid: ReadonlySet<EndpointId>;
  /** The only software version that may be used; null for any. */
  version: SoftwareVersion | null;
  nowMs: number;
  random: () => number;
}

/**
 * Sorts endpoints by their limits, which turn a stream away for certain, then by health,
 * then by free capacity, then by the tokens of this VM's streams there, which weigh more
 * at slow endpoints, with ties broken at random. Leaves out those in `avoid` and those of other versions than `version`.
 */
export function rankDecodeEndpoints(
  usable: readonly EndpointRecord[],
  options: RankDecodeOptions,
): EndpointRecord[] {
  const { avoid, version, nowMs, random } = options;
  const speedOf = ownRelativeSpeeds("decode", usable);
  return usable
    .filter(({ entry }) =>
      !avoid.has(entry.id) &&
      (version === null || entry.softwareVersion === version)
    )
    .map((endpoint) => ({
      endpoint,
      limited: endpoint.isLimited(nowMs) ? 1 : 0,
      unhealthy: endpoint.isHealthy(nowMs) ? 0 : 1,
      full: endpoint.isFull(nowMs) ? 1 : 0,
      tokens: endpoint.inFlightTokens / speedOf(endpoint),
      tieBreaker: random(),
    }))
    .sort((a, b) =>
      a.limited - b.limited || a.unhealthy - b.unhealthy ||
      a.full - b.full || a.tokens - b.tokens || a.tieBreaker - b.tieBreaker
    )
    .map(({ endpoint }) => endpoint);
}
