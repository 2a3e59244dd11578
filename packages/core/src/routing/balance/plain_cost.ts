/**
 * Spreads calls over the endpoints of a plain service by this VM's own recent sends.
 *
 * Answers a load where many VMs each send few calls. A VM's measured latencies are up to
 * seconds old and differ by chance, and VMs that prefer the endpoint which was fastest
 * last overload it together. Endpoints of about the same latency are therefore used in
 * turns; one that is clearly slower gets fewer calls.
 */
import type { DataCentre } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";

/**
 * An endpoint counts as slow from this multiple of the typical latency on. Single
 * answers differ by less than this from each other, so that VMs don't go by chance.
 */
const SLOW_FACTOR = 1.5;
/** Exponent of the slowness in the share of calls that an endpoint loses. */
const SLOW_EXPONENT = 2;
/** Random part of the cost, in sends, so that VMs that have sent nothing choose differently. */
const JITTER_SENDS = 0.3;

/** Options of {@link balancedCost}. */
export interface BalancedCostOptions {
  readonly dataCentre: DataCentre;
  readonly nowMs: number;
  readonly random: () => number;
  /** Latency assumed while none is known. */
  readonly defaultLatencyMs: number;
  /** Extra time of a call to another data centre. */
  readonly remoteMs: number;
}

/**
 * Returns the cost of a call at each endpoint: the recent sends there, as a multiple for
 * slow, busy and remote ones. The endpoint with the lowest cost is to be chosen.
 */
export function balancedCost(
  endpoints: readonly EndpointRecord[],
  options: BalancedCostOptions,
): (endpoint: EndpointRecord) => number {
  const { nowMs, random, dataCentre, remoteMs } = options;
  const typicalMs = typicalLatencyMs(endpoints, nowMs) ??
    options.defaultLatencyMs;
  return (endpoint) => {
    const { entry, inFlight, recentSends } = endpoint;
    const latencyMs = endpoint.freshLatencyMs(nowMs) ?? typicalMs;
    const slowness = Math.max(1, latencyMs / (SLOW_FACTOR * typicalMs));
    const remote = entry.dataCentre === dataCentre ? 0 : remoteMs / typicalMs;
    const sends = 1 + recentSends.current() + JITTER_SENDS * random();
    const busy = 1 + inFlight / Math.max(1, entry.slots);
    return sends * slowness ** SLOW_EXPONENT * busy * (1 + remote);
  };
}

// The lower median, so that up to half of the endpoints may be slow.
function typicalLatencyMs(
  endpoints: readonly EndpointRecord[],
  nowMs: number,
): number | null {
  const known = endpoints
    .map((endpoint) => endpoint.freshLatencyMs(nowMs))
    .filter((latencyMs) => latencyMs !== null && latencyMs > 0)
    .sort((a, b) => a! - b!);
  return known[Math.floor((known.length - 1) / 2)] ?? null;
}
