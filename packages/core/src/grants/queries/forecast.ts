/** Compares the demand of a shard's queued requests with the supply expected in time. */
import type { DecodeReplica } from "../decode_replica.ts";
import { promptKvBlocks } from "../policies/estimate.ts";
import type { ShardView } from "../policies/types.ts";
import type { GrantRequest } from "../types.ts";

/** A request that waits for a grant. */
export interface WaitingRequest {
  readonly request: GrantRequest;
  /** Expected output length. */
  readonly expectedTokens: number;
  /** When the first token is due, on the monotonic clock. */
  readonly dueAtMs: number;
  /** Minimum time to the first token in an idle shard; 0 for a late request. */
  readonly idleMs: number;
}

/**
 * Amounts of the four resources that a request needs: decode slots, KV cache
 * blocks, prefill time and link time.
 */
export interface ResourceAmounts {
  slots: number;
  kvBlocks: number;
  prefillMs: number;
  linkMs: number;
}

const RESOURCES = ["slots", "kvBlocks", "prefillMs", "linkMs"] as const;
/**
 * Exponent of the ratio of demand to supply in a resource's price: the larger,
 * the more the scarcest resource dominates the cost.
 */
const PRICE_EXPONENT = 4;

/** Total demand of the queued requests, and the supply expected in time. */
export interface Forecast {
  readonly supply: ResourceAmounts;
  readonly demand: ResourceAmounts;
}

/** Returns the resources that one request needs; prefill time assumes that nothing is cached. */
export function requiredAmounts(
  view: ShardView,
  request: GrantRequest,
): ResourceAmounts {
  return {
    slots: 1,
    kvBlocks: promptKvBlocks(request.promptTokens),
    prefillMs: view.speeds.prefillMs.predict(request.promptTokens),
    linkMs: view.speeds.transferMs.predict(request.promptTokens),
  };
}

/** Returns the resources that the shard is expected to have free within a time. */
export function expectedSupply(
  view: ShardView,
  withinMs: number,
): ResourceAmounts {
  const supply: ResourceAmounts = {
    slots: 0,
    kvBlocks: 0,
    prefillMs: 0,
    linkMs: 0,
  };
  for (const decode of view.decodes) {
    if (decode.isUsable(view.nowMs)) {
      addDecodeSupply(supply, { view, decode, withinMs });
    }
  }
  for (const prefill of view.prefills) {
    if (!prefill.isUsable(view.nowMs)) continue;
    const backlogMs = prefill.backlogMs(view.nowMs);
    supply.prefillMs += Math.max(0, withinMs - backlogMs);
    const linkBusyMs = prefill.link.remainingMs(view.nowMs);
    supply.linkMs += Math.max(0, withinMs - linkBusyMs);
  }
  return supply;
}

/**
 * Returns the largest ratio of demand to supply; above 1, not all requests can
 * be served in time.
 */
export function maxDemandRatio({ supply, demand }: Forecast): number {
  return Math.max(
    ...RESOURCES.map((resource) => ratio(demand[resource], supply[resource])),
  );
}

/**
 * Returns the cost of a request: its share of each resource's demand, weighted
 * by the resource's scarcity and, for slots and memory, by its relative length.
 */
export function costOf(
  waiting: WaitingRequest,
  options: { view: ShardView; forecast: Forecast; meanTokens: number },
): number {
  const { supply, demand } = options.forecast;
  const required = requiredAmounts(options.view, waiting.request);
  const relativeLength = waiting.expectedTokens / options.meanTokens;
  let cost = 0;
  for (const resource of RESOURCES) {
    const price = ratio(demand[resource], supply[resource]) ** PRICE_EXPONENT;
    const occupancy = resource === "slots" || resource === "kvBlocks"
      ? relativeLength
      : 1;
    cost += price * occupancy * required[resource] /
      Math.max(demand[resource], 1e-9);
  }
  return cost;
}

function ratio(demand: number, supply: number): number {
  return demand / Math.max(supply, 1e-9);
}

function addDecodeSupply(
  supply: ResourceAmounts,
  options: { view: ShardView; decode: DecodeReplica; withinMs: number },
): void {
  const { view, decode, withinMs } = options;
  const stepMs = view.speeds.stepMs.predict(decode.slots);
  const usage = decode.usage(view.nowMs, stepMs);
  const completions = usage.completionsPerMs * withinMs;
  const blocksPerRun = usage.batchSize > 0
    ? usage.kvBlocks / usage.batchSize
    : 0;
  supply.slots += Math.max(0, decode.slots - usage.batchSize) + completions;
  supply.kvBlocks += Math.max(0, decode.memoryPieces - usage.kvBlocks) +
    completions * blocksPerRun;
}
