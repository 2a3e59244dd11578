/** Chooses the endpoint for a call to a plain service: many short calls, few slots per endpoint. */
import type { DataCentre, EndpointId } from "../../common/ids.ts";
import { balancedCost } from "../balance/plain_cost.ts";
import type { RoutingContext } from "../context.ts";
import type { EndpointRecord } from "../endpoint_record.ts";

/** Extra cost of a call to another data centre: about one round trip. */
const REMOTE_COST_MS = 1;
/** Expected time while no endpoint's latency is known or fresh. */
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
  /** Whether this VM's recent sends are spread over endpoints of about the same latency. */
  isBalancing?: boolean;
}

/** Returns the options that are the same for all requests of a VM at this moment. */
export function chooseOptions(
  { dataCentre, random, isBalancing }: Pick<
    RoutingContext,
    "dataCentre" | "random" | "isBalancing"
  >,
): Omit<ChooseEndpointOptions, "tried"> {
  const nowMs = performance.now();
  return { dataCentre, random, nowMs, isBalancing: isBalancing() };
}

/**
 * Returns the healthy endpoint with the shortest expected time, or the one whose turn it
 * is when balancing, preferably one that isn't full. If all are ejected after failures,
 * returns the one whose ejection ends first, so that a service never loses its last
 * endpoints to ejection. Undefined if every endpoint was tried or none is usable.
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
  const candidates = notFull.length > 0 ? notFull : healthy;
  if (options.isBalancing) {
    const costOptions = {
      ...options,
      defaultLatencyMs: DEFAULT_LATENCY_MS,
      remoteMs: REMOTE_COST_MS,
    };
    return minimumBy(candidates, balancedCost(candidates, costOptions));
  }
  const freshLatencies = healthy
    .map((record) => record.freshLatencyMs(options.nowMs))
    .filter((latencyMs) => latencyMs !== null);
  const lowestLatencyMs = freshLatencies.length > 0
    ? Math.min(...freshLatencies)
    : DEFAULT_LATENCY_MS;
  return minimumBy(
    candidates,
    (record) => expectedMs(record, { ...options, lowestLatencyMs }),
  );
}

function expectedMs(
  record: EndpointRecord,
  options: ChooseEndpointOptions & { lowestLatencyMs: number },
): number {
  const { entry, inFlight } = record;
  // An endpoint that is new or was slow once would otherwise get no request at all.
  const latencyMs = record.freshLatencyMs(options.nowMs) ??
    options.lowestLatencyMs;
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
