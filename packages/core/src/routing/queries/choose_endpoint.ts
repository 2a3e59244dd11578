/** Chooses the endpoint for a call to a plain service: many short calls, few slots per endpoint. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";

/** Extra cost of a call to another data centre: about one round trip. */
const REMOTE_COST_MS = 1;
/** Expected time while no endpoint's latency is known. */
const DEFAULT_LATENCY_MS = 20;

/** Options of {@link chooseEndpoint}. */
export interface ChooseEndpointOptions {
  /** The VM's own data centre. */
  dataCentre: DataCentre;
  /** Endpoints that this request was already sent to. */
  tried: ReadonlySet<EndpointId>;
  /** Current time on the monotonic clock. */
  nowMs: number;
  random: () => number;
}

/**
 * Returns the healthy endpoint with the shortest expected time, preferably one
 * that isn't full. If all are ejected after failures, returns the one whose
 * ejection ends first, so that a service never loses its last endpoints to
 * ejection. Undefined if every endpoint was tried or none is usable.
 */
export function chooseEndpoint(
  usable: readonly EndpointRecord[],
  options: ChooseEndpointOptions,
): EndpointRecord | undefined {
  const untried = usable.filter(({ entry }) => !options.tried.has(entry.id));
  const healthy = untried.filter((record) => record.isHealthy(options.nowMs));
  if (healthy.length === 0) {
    return minimumBy(untried, (record) => record.ejectedUntilMs);
  }
  const notFull = healthy.filter((record) => !record.isFull(options.nowMs));
  const knownLatencies = healthy.map((record) => record.latencyMs)
    .filter((latencyMs) => latencyMs !== null);
  const meanLatencyMs = knownLatencies.length > 0
    ? knownLatencies.reduce((sum, ms) => sum + ms, 0) / knownLatencies.length
    : DEFAULT_LATENCY_MS;
  return minimumBy(
    notFull.length > 0 ? notFull : healthy,
    (record) => expectedMs(record, { ...options, meanLatencyMs }),
  );
}

function expectedMs(
  record: EndpointRecord,
  options: ChooseEndpointOptions & { meanLatencyMs: number },
): number {
  const { entry, inFlight } = record;
  const latencyMs = record.latencyMs ?? options.meanLatencyMs;
  const load = (inFlight + 1) / Math.max(1, entry.slots);
  const remoteMs = entry.dataCentre === options.dataCentre ? 0 : REMOTE_COST_MS;
  // Random jitter, so that VMs with the same local view don't all choose the same
  // endpoint.
  return latencyMs * (1 + load) * (1 + 0.1 * options.random()) + remoteMs;
}

/** Returns the first item with the lowest cost, or undefined for an empty list. */
export function minimumBy<T>(
  items: readonly T[],
  cost: (item: T) => number,
): T | undefined {
  let best: T | undefined;
  let bestCost = Infinity;
  for (const item of items) {
    const itemCost = cost(item);
    if (best !== undefined && itemCost >= bestCost) continue;
    best = item;
    bestCost = itemCost;
  }
  return best;
}
