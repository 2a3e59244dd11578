/** Compares what waits at a shard with what the shard is expected to offer in time. */
import type { DecodeReplica } from "../decode_replica.ts";
import { promptKvBlocks } from "../policies/estimate.ts";
import type { ShardView } from "../policies/types.ts";
import type { GrantRequest } from "../types.ts";

/** A request that waits for its grant. */
export interface WaitingRequest {
  readonly request: GrantRequest;
  readonly expectedTokens: number;
  /** When the first token is due, on the monotonic clock. */
  readonly dueAtMs: number;
  /** Least time to the first token, with nothing else in the shard. */
  readonly idleMs: number;
}

/** Amounts of the four things that a request needs. */
export interface ResourceAmounts {
  slots: number;
  pieces: number;
  prefillMs: number;
  linkMs: number;
}

const RESOURCES = ["slots", "pieces", "prefillMs", "linkMs"] as const;
/** How much more a scarce resource counts than one that is less scarce. */
const PRICE_EXPONENT = 4;

/** What requests need, and what there will be. */
export interface Forecast {
  readonly supply: ResourceAmounts;
  readonly demand: ResourceAmounts;
}

/** What one request needs. */
export function requiredAmounts(
  view: ShardView,
  request: GrantRequest,
): ResourceAmounts {
  return {
    slots: 1,
    pieces: promptKvBlocks(request.promptTokens),
    prefillMs: view.speeds.prefillMs.predict(request.promptTokens),
    linkMs: view.speeds.transferMs.predict(request.promptTokens),
  };
}

/** Gives what the shard is expected to offer within a time. */
export function expectedSupply(
  view: ShardView,
  withinMs: number,
): ResourceAmounts {
  const supply: ResourceAmounts = {
    slots: 0,
    pieces: 0,
    prefillMs: 0,
    linkMs: 0,
  };
  for (const decode of view.decodes) {
    if (decode.isAvailable(view.nowMs)) {
      addDecode(supply, { view, decode, withinMs });
    }
  }
  for (const prefill of view.prefills) {
    if (!prefill.isAvailable(view.nowMs)) continue;
    const backlogMs = prefill.backlogMs(view.nowMs);
    supply.prefillMs += Math.max(0, withinMs - backlogMs);
    const busyMs = prefill.link.remainingMs(view.nowMs);
    supply.linkMs += Math.max(0, withinMs - busyMs);
  }
  return supply;
}

/** The largest ratio of demand to supply; above 1 something cannot be served in time. */
export function maxDemandRatio({ supply, demand }: Forecast): number {
  return Math.max(...RESOURCES.map((one) => ratio(demand[one], supply[one])));
}

/** The cost of a request, in which what is scarce counts most. */
export function costOf(
  waiting: WaitingRequest,
  options: { view: ShardView; forecast: Forecast; meanTokens: number },
): number {
  const { supply, demand } = options.forecast;
  const own = requiredAmounts(options.view, waiting.request);
  const stay = waiting.expectedTokens / options.meanTokens;
  let cost = 0;
  for (const one of RESOURCES) {
    const price = ratio(demand[one], supply[one]) ** PRICE_EXPONENT;
    const held = one === "slots" || one === "pieces" ? stay : 1;
    cost += price * held * own[one] / Math.max(demand[one], 1e-9);
  }
  return cost;
}

function ratio(demand: number, supply: number): number {
  return demand / Math.max(supply, 1e-9);
}

function addDecode(
  supply: ResourceAmounts,
  options: { view: ShardView; decode: DecodeReplica; withinMs: number },
): void {
  const { view, decode, withinMs } = options;
  const stepMs = view.speeds.stepMs.predict(decode.slots);
  const use = decode.usage(view.nowMs, stepMs);
  const ends = use.completionsPerMs * withinMs;
  const memberPieces = use.batchSize > 0 ? use.kvBlocks / use.batchSize : 0;
  supply.slots += Math.max(0, decode.slots - use.batchSize) + ends;
  supply.pieces += Math.max(0, decode.memoryPieces - use.kvBlocks) +
    ends * memberPieces;
}
