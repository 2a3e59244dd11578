/**
 * Policy that first reserves a decode slot and its memory, then chooses the
 * prefill replica with the earliest first token.
 */
import type { DecodeReplica } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import {
  estimatePlacement,
  promptKvBlocks,
  usableReplicas,
} from "./estimate.ts";
import type { GrantPolicy, Placement, ShardView } from "./types.ts";

/**
 * A prefill is granted only when the replica's earlier work is expected to end
 * within this time.
 */
const LOOKAHEAD_MS = 10;
/**
 * Memory is kept free for all runs of the batch to grow this long, in case none
 * of them ends earlier; `prefillWasteWeight` interpolates between the values.
 */
const GROWTH_RANGE_MS: readonly [number, number] = [3_000, 5_000];
const NO_CAPACITY = Number.NEGATIVE_INFINITY;

/** The default policy: queues requests until a decode slot and a prefill replica are available. */
export const reserveThenPrefill: GrantPolicy = {
  name: "reserveThenPrefill",
  queuesRequests: true,
  isReady: (view) =>
    view.prefills.some((one) => canTakePrefill(one, view.nowMs)),
  place(view, request) {
    const choice = findDecode(view, request);
    if (!choice) return null;
    return findPrefill(view, { request, ...choice });
  },
};

/**
 * Picks the decode replica with the largest free share left, in the scarcer of
 * slots and memory.
 */
function findDecode(
  view: ShardView,
  request: GrantRequest,
): { decode: DecodeReplica; batchSize: number } | null {
  const { nowMs } = view;
  let best: { decode: DecodeReplica; batchSize: number } | null = null;
  let bestFreeShare = NO_CAPACITY;
  for (const decode of view.decodes) {
    if (!decode.isUsable(nowMs) || request.avoid.includes(decode.id)) continue;
    if (decode.hasIsolatedRun || (request.alone && !decode.isEmpty)) continue;
    const { freeShare, batchSize } = freeShareAfter(view, { request, decode });
    if (freeShare > bestFreeShare) {
      bestFreeShare = freeShare;
      best = { decode, batchSize };
    }
  }
  return best;
}

function freeShareAfter(
  view: ShardView,
  options: { request: GrantRequest; decode: DecodeReplica },
): { freeShare: number; batchSize: number } {
  const { request, decode } = options;
  const usage = decode.usage(
    view.nowMs,
    view.speeds.stepMs.predict(decode.slots),
  );
  const newBatchSize = usage.batchSize + 1;
  const stepMs = view.speeds.stepMs.predict(newBatchSize);
  const [shortMs, longMs] = GROWTH_RANGE_MS;
  const growthMs = shortMs + (longMs - shortMs) * view.prefillWasteWeight;
  const growthBlocks = newBatchSize * growthMs / stepMs / 32;
  const slots = decode.slots * (1 - view.reservedShare);
  const memoryBlocks = decode.memoryPieces * (1 - view.reservedShare);
  const kvBlocks = usage.kvBlocks + promptKvBlocks(request.promptTokens) +
    growthBlocks;
  const fits = newBatchSize <= slots && kvBlocks <= memoryBlocks &&
    stepMs <= view.betweenTokensTargetMs;
  if (!fits) return { freeShare: NO_CAPACITY, batchSize: usage.batchSize };
  return {
    freeShare: Math.min(1 - newBatchSize / slots, 1 - kvBlocks / memoryBlocks),
    batchSize: usage.batchSize,
  };
}

function findPrefill(
  view: ShardView,
  options: { request: GrantRequest; decode: DecodeReplica; batchSize: number },
): Placement | null {
  const { request } = options;
  let best: Placement | null = null;
  for (
    const prefill of usableReplicas(view.prefills, { request, ...view })
  ) {
    if (
      prefill.hasIsolatedRun || (request.alone && prefill.queuedCount > 0)
    ) continue;
    if (!canTakePrefill(prefill, view.nowMs)) continue;
    const placement = estimatePlacement(view, { ...options, prefill });
    if (placement.delaysOthers) continue;
    if (!best || isPreferred(placement, { best, request })) best = placement;
  }
  return best;
}

function canTakePrefill(prefill: PrefillReplica, nowMs: number): boolean {
  return prefill.isUsable(nowMs) && prefill.backlogMs(nowMs) <= LOOKAHEAD_MS;
}

/**
 * Prefers the earlier first token; within 1 ms, the replica with the higher
 * rendezvous hash of the prompt's first block, so that prompts with the same
 * start go to the same replica.
 */
function isPreferred(
  placement: Placement,
  options: { best: Placement; request: GrantRequest },
): boolean {
  const { best, request } = options;
  const gainMs = best.firstTokenMs - placement.firstTokenMs;
  if (Math.abs(gainMs) > 1) return gainMs > 0;
  const firstBlock = request.blocks[0] ?? "";
  return affinity(firstBlock, placement.prefill) >
    affinity(firstBlock, best.prefill);
}

/** FNV-1a hash of the first block and the replica. */
function affinity(firstBlock: string, prefill: PrefillReplica): number {
  const text = firstBlock + prefill.id;
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193);
  }
  return hash >>> 0;
}
