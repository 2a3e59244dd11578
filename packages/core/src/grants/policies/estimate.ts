/** Estimates that policies share. */
import { type DecodeReplica, TOKENS_PER_PIECE } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import type { Placement, ShardView } from "./types.ts";

/** Orders and events between owner, home and engines on the way to the first token. */
const HOPS_MS = 4;

/** Memory that a prompt takes. */
export function promptPieces(promptTokens: number): number {
  return Math.ceil(promptTokens / TOKENS_PER_PIECE);
}

/** Replicas that may get this request now. */
export function candidates<T extends PrefillReplica | DecodeReplica>(
  replicas: readonly T[],
  options: { request: GrantRequest; nowMs: number },
): T[] {
  const { request, nowMs } = options;
  return replicas.filter((one) =>
    one.mayGrant(nowMs) && !request.avoid.includes(one.id)
  );
}

/** Times that a pair of replicas is expected to take. */
export function estimate(
  view: ShardView,
  pair: {
    request: GrantRequest;
    prefill: PrefillReplica;
    decode: DecodeReplica;
    members: number;
  },
): Placement {
  const { request, prefill, decode } = pair;
  const { nowMs, speeds } = view;
  const cachedTokens = Math.min(
    request.promptTokens,
    prefill.hints.cachedTokens(request.blocks, nowMs),
  );
  const prefillEndMs = prefill.backlogMs(nowMs) +
    speeds.prefillMs.at(request.promptTokens - cachedTokens);
  const transferMs = speeds.transferMs.at(
    request.promptTokens + prefill.linkTokens(),
  );
  const stepMs = speeds.stepMs.at(pair.members + 1);
  return {
    prefill,
    decode,
    cachedTokens,
    prefillEndMs,
    // A new member waits for the step under way, half of one on average, and then for its own.
    firstTokenMs: prefillEndMs + transferMs + 1.5 * stepMs + HOPS_MS,
  };
}

/** Least time to the first token, with nothing else in the shard. */
export function estimateIdleMs(view: ShardView, request: GrantRequest): number {
  const { speeds, nowMs } = view;
  let cachedTokens = 0;
  for (const prefill of view.prefills) {
    const cached = prefill.hints.cachedTokens(request.blocks, nowMs);
    cachedTokens = Math.max(cachedTokens, cached);
  }
  const uncached = Math.max(0, request.promptTokens - cachedTokens);
  return speeds.prefillMs.at(uncached) +
    speeds.transferMs.at(request.promptTokens) +
    1.5 * speeds.stepMs.at(1) + HOPS_MS;
}
