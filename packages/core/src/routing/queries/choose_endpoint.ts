/** Chooses the endpoint of a call to a plain service: many short calls, few slots each. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";

/** What a call in another data centre costs on top; about the way there and back. */
const REMOTE_COST_MS = 1;
/** Expected time of an endpoint that nobody has heard of. */
const UNKNOWN_LATENCY_MS = 20;

/** Options of {@link chooseEndpoint}. */
export interface ChooseEndpointOptions {
  /** The VM's own data centre. */
  dataCentre: DataCentre;
  /** Endpoints that this request was sent to before. */
  tried: ReadonlySet<EndpointId>;
  /** Time on the monotonic clock. */
  nowMs: number;
  random: () => number;
}

/**
 * The endpoint with the shortest expected time among those that are sound. When
 * all rest after failures, the one that rests shortest: the last ones are never
 * ejected. Undefined where every endpoint was tried or none is usable.
 */
export function chooseEndpoint(
  usable: readonly EndpointRecord[],
  options: ChooseEndpointOptions,
): EndpointRecord | undefined {
  const untried = usable.filter(({ entry }) => !options.tried.has(entry.id));
  const sound = untried.filter((record) => record.isHealthy(options.nowMs));
  if (sound.length === 0) {
    return minimumBy(untried, (record) => record.ejectedUntilMs);
  }
  const roomy = sound.filter((record) => !record.isFull(options.nowMs));
  const known = sound.map((record) => record.latencyMs)
    .filter((latencyMs) => latencyMs !== null);
  const usualMs = known.length > 0
    ? known.reduce((sum, ms) => sum + ms, 0) / known.length
    : UNKNOWN_LATENCY_MS;
  return minimumBy(
    roomy.length > 0 ? roomy : sound,
    (record) => expectedMs(record, { ...options, usualMs }),
  );
}

function expectedMs(
  record: EndpointRecord,
  options: ChooseEndpointOptions & { usualMs: number },
): number {
  const { entry, inFlight } = record;
  const latencyMs = record.latencyMs ?? options.usualMs;
  const load = (inFlight + 1) / Math.max(1, entry.slots);
  const remoteMs = entry.dataCentre === options.dataCentre ? 0 : REMOTE_COST_MS;
  // Ties are broken at random, so that VMs that know the same don't choose the same.
  return latencyMs * (1 + load) * (1 + 0.1 * options.random()) + remoteMs;
}

/** The item with the smallest cost. */
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
