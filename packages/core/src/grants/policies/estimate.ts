/** Estimates that policies share. */
import { type DecodeReplica, TOKENS_PER_KV_BLOCK } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import type { Placement, ShardView } from "./types.ts";

/** Orders and events between owner, home and engines on the way to the first token. */
const HOPS_MS = 4;

/** Memory that a prompt takes. */
export function promptKvBlocks(promptTokens: number): number {
  return Math.ceil(promptTokens / TOKENS_PER_KV_BLOCK);
}

/** Replicas that may get this request now. */
export function availableReplicas<T extends PrefillReplica | DecodeReplica>(
  replicas: readonly T[],
  options: { request: GrantRequest; nowMs: number },
): T[] {
  const { request, nowMs } = options;
  return replicas.filter((one) =>
    one.isAvailable(nowMs) && !request.avoid.includes(one.id)
  );
}

/** Times that a pair of replicas is expected to take. */
export function estimatePlacement(
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
  const prefillMs = prefill.backlogMs(nowMs) +
    speeds.prefillMs.predict(request.promptTokens - cachedTokens);
  const transfer = {
    stream: request.stream,
    startAtMs: nowMs + prefillMs,
    aloneMs: speeds.transferMs.predict(request.promptTokens),
    dueAtMs: Number.POSITIVE_INFINITY,
  };
  const planned = prefill.plannedTransfers(nowMs);
  const ends = prefill.link.predictEnds([...planned, transfer], nowMs);
  const transferEndMs = ends.get(request.stream)!.endMs;
  return {
    prefill,
    decode,
    cachedTokens,
    firstTokenMs: transferEndMs - nowMs + afterTransferMs(view, pair.members),
    delaysOthers: makesLate(ends, prefill.link.predictEnds(planned, nowMs)),
  };
}

/** Time between the end of a transfer and the first token at the caller's VM. */
export function afterTransferMs(view: ShardView, members: number): number {
  // A new member waits for the step under way, half of one on average, and then for its own.
  return 1.5 * view.speeds.stepMs.predict(members + 1) + HOPS_MS;
}

type Ends = ReturnType<PrefillReplica["link"]["predictEnds"]>;

function makesLate(withNew: Ends, without: Ends): boolean {
  for (const [stream, { endMs, dueAtMs }] of without) {
    if (endMs <= dueAtMs && withNew.get(stream)!.endMs > dueAtMs) return true;
  }
  return false;
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
  return speeds.prefillMs.predict(uncached) +
    speeds.transferMs.predict(request.promptTokens) +
    1.5 * speeds.stepMs.predict(1) + HOPS_MS;
}
