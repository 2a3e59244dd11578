/** Estimates shared by the policies and the shard. */
import { type DecodeReplica, TOKENS_PER_KV_BLOCK } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import type { Placement, ShardView } from "./types.ts";

/** Total delay of the messages between owner, home and engines before the first token. */
const MESSAGE_DELAY_MS = 4;

/** Number of KV cache blocks that a prompt occupies. */
export function promptKvBlocks(promptTokens: number): number {
  return Math.ceil(promptTokens / TOKENS_PER_KV_BLOCK);
}

/** Returns the replicas that may get this request now: usable ones that it doesn't avoid. */
export function usableReplicas<T extends PrefillReplica | DecodeReplica>(
  replicas: readonly T[],
  options: { request: GrantRequest; nowMs: number },
): T[] {
  const { request, nowMs } = options;
  return replicas.filter((one) =>
    one.isUsable(nowMs) && !request.avoid.includes(one.id)
  );
}

/**
 * Estimates the timing of a request on a pair of replicas; `batchSize` is that
 * of the decode replica without the request.
 */
export function estimatePlacement(
  view: ShardView,
  options: {
    request: GrantRequest;
    prefill: PrefillReplica;
    decode: DecodeReplica;
    batchSize: number;
  },
): Placement {
  const { request, prefill, decode } = options;
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
    unsharedMs: speeds.transferMs.predict(request.promptTokens),
    dueAtMs: Number.POSITIVE_INFINITY,
  };
  const planned = prefill.plannedTransfers(nowMs);
  const ends = prefill.link.predictEnds([...planned, transfer], nowMs);
  const transferEndMs = ends.get(request.stream)!.endMs;
  return {
    prefill,
    decode,
    cachedTokens,
    firstTokenMs: transferEndMs - nowMs +
      afterTransferMs(view, options.batchSize),
    delaysOthers: delaysExisting(
      ends,
      prefill.link.predictEnds(planned, nowMs),
    ),
  };
}

/**
 * Expected time from the end of a transfer to the first token at the caller's
 * VM, for a run that joins `batchSize` others.
 */
export function afterTransferMs(view: ShardView, batchSize: number): number {
  // A new run waits for the current step to end, half a step on average, and
  // then for its own first step.
  return 1.5 * view.speeds.stepMs.predict(batchSize + 1) + MESSAGE_DELAY_MS;
}

type TransferEnds = ReturnType<PrefillReplica["link"]["predictEnds"]>;

function delaysExisting(withNew: TransferEnds, without: TransferEnds): boolean {
  for (const [stream, { endMs, dueAtMs }] of without) {
    if (endMs <= dueAtMs && withNew.get(stream)!.endMs > dueAtMs) return true;
  }
  return false;
}

/** Estimates the minimum time to the first token, as if the shard were idle. */
export function estimateIdleMs(view: ShardView, request: GrantRequest): number {
  const { speeds, nowMs } = view;
  let cachedTokens = 0;
  for (const prefill of view.prefills) {
    const replicaCachedTokens = prefill.hints.cachedTokens(
      request.blocks,
      nowMs,
    );
    cachedTokens = Math.max(cachedTokens, replicaCachedTokens);
  }
  const uncachedTokens = Math.max(0, request.promptTokens - cachedTokens);
  return speeds.prefillMs.predict(uncachedTokens) +
    speeds.transferMs.predict(request.promptTokens) +
    1.5 * speeds.stepMs.predict(1) + MESSAGE_DELAY_MS;
}
