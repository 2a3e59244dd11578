/** Compares what waits at a shard with what the shard is expected to offer in time. */
import type { DecodeReplica } from "../decode_replica.ts";
import { promptPieces } from "../policies/estimate.ts";
import type { ShardView } from "../policies/types.ts";
import type { GrantRequest } from "../types.ts";

/** A request that waits for its grant. */
export interface Waiting {
  readonly request: GrantRequest;
  readonly expectedTokens: number;
  /** When the first token is due, on the monotonic clock. */
  readonly dueAtMs: number;
  /** Least time to the first token, with nothing else in the shard. */
  readonly idleMs: number;
}

/** Amounts of the four things that a request needs. */
export interface Amounts {
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
  readonly supply: Amounts;
  readonly demand: Amounts;
}

/** What one request needs. */
export function needs(view: ShardView, request: GrantRequest): Amounts {
  return {
    slots: 1,
    pieces: promptPieces(request.promptTokens),
    prefillMs: view.speeds.prefillMs.at(request.promptTokens),
    linkMs: view.speeds.transferMs.at(request.promptTokens),
  };
}

/** Gives what the shard is expected to offer within a time. */
export function expectedSupply(view: ShardView, withinMs: number): Amounts {
  const supply: Amounts = { slots: 0, pieces: 0, prefillMs: 0, linkMs: 0 };
  for (const decode of view.decodes) {
    if (decode.mayGrant(view.nowMs)) {
      addDecode(supply, { view, decode, withinMs });
    }
  }
  for (const prefill of view.prefills) {
    if (!prefill.mayGrant(view.nowMs)) continue;
    const backlogMs = prefill.backlogMs(view.nowMs);
    supply.prefillMs += Math.max(0, withinMs - backlogMs);
    const busyMs = prefill.link.leftMs(view.nowMs);
    supply.linkMs += Math.max(0, withinMs - busyMs);
  }
  return supply;
}

/** The largest ratio of demand to supply; above 1 something cannot be served in time. */
export function worstRatio({ supply, demand }: Forecast): number {
  return Math.max(...RESOURCES.map((one) => ratio(demand[one], supply[one])));
}

/** The cost of a request, in which what is scarce counts most. */
export function costOf(
  waiting: Waiting,
  options: { view: ShardView; forecast: Forecast; meanTokens: number },
): number {
  const { supply, demand } = options.forecast;
  const own = needs(options.view, waiting.request);
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
  supply: Amounts,
  options: { view: ShardView; decode: DecodeReplica; withinMs: number },
): void {
  const { view, decode, withinMs } = options;
  const stepMs = view.speeds.stepMs.at(decode.slots);
  const use = decode.use(view.nowMs, stepMs);
  const ends = use.endsPerMs * withinMs;
  const memberPieces = use.members > 0 ? use.pieces / use.members : 0;
  supply.slots += Math.max(0, decode.slots - use.members) + ends;
  supply.pieces += Math.max(0, decode.memoryPieces - use.pieces) +
    ends * memberPieces;
}
