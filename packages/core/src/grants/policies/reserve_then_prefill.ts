/** Reserves a decode slot and its memory, then names the prefill that ends first. */
import type { DecodeReplica } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { GrantRequest } from "../types.ts";
import {
  availableReplicas,
  estimatePlacement,
  promptKvBlocks,
} from "./estimate.ts";
import type { GrantPolicy, Placement, ShardView } from "./types.ts";

/** A prefill is granted once the replica's earlier work is within this of its end. */
const LOOKAHEAD_MS = 10;
/** Members may grow this long before one of them ends; weighted by how much waste matters. */
const GROWTH_MS: readonly [number, number] = [3_000, 5_000];
const NO_ROOM = Number.NEGATIVE_INFINITY;

/** Our own policy. */
export const reserveThenPrefill: GrantPolicy = {
  name: "reserveThenPrefill",
  queuesRequests: true,
  isReady: (view) => view.prefills.some((one) => takesMore(one, view.nowMs)),
  place(view, request) {
    const found = findDecode(view, request);
    if (!found) return null;
    return findPrefill(view, { request, ...found });
  },
};

/** Picks the decode replica that keeps the most room, in the scarcer of slots and memory. */
function findDecode(
  view: ShardView,
  request: GrantRequest,
): { decode: DecodeReplica; members: number } | null {
  const { nowMs } = view;
  let best: { decode: DecodeReplica; members: number } | null = null;
  let bestRoom = NO_ROOM;
  for (const decode of view.decodes) {
    if (!decode.isAvailable(nowMs) || request.avoid.includes(decode.id)) {
      continue;
    }
    if (decode.hasIsolatedRun || (request.alone && !decode.isEmpty)) continue;
    const { room, members } = roomAfter(view, { request, decode });
    if (room > bestRoom) {
      bestRoom = room;
      best = { decode, members };
    }
  }
  return best;
}

function roomAfter(
  view: ShardView,
  options: { request: GrantRequest; decode: DecodeReplica },
): { room: number; members: number } {
  const { request, decode } = options;
  const use = decode.usage(
    view.nowMs,
    view.speeds.stepMs.predict(decode.slots),
  );
  const members = use.batchSize + 1;
  const stepMs = view.speeds.stepMs.predict(members);
  const [shortMs, longMs] = GROWTH_MS;
  const growthMs = shortMs + (longMs - shortMs) * view.prefillWasteWeight;
  const growth = members * growthMs / stepMs / 32;
  const slots = decode.slots * (1 - view.reservedShare);
  const memory = decode.memoryPieces * (1 - view.reservedShare);
  const pieces = use.kvBlocks + promptKvBlocks(request.promptTokens) + growth;
  const fits = members <= slots && pieces <= memory &&
    stepMs <= view.betweenTokensTargetMs;
  if (!fits) return { room: NO_ROOM, members: use.batchSize };
  return {
    room: Math.min(1 - members / slots, 1 - pieces / memory),
    members: use.batchSize,
  };
}

function findPrefill(
  view: ShardView,
  options: { request: GrantRequest; decode: DecodeReplica; members: number },
): Placement | null {
  const { request } = options;
  let best: Placement | null = null;
  for (
    const prefill of availableReplicas(view.prefills, { request, ...view })
  ) {
    if (
      prefill.hasIsolatedRun || (request.alone && prefill.queuedCount > 0)
    ) continue;
    if (!takesMore(prefill, view.nowMs)) continue;
    const placement = estimatePlacement(view, { ...options, prefill });
    if (placement.delaysOthers) continue;
    if (!best || isBetter(placement, { best, request })) best = placement;
  }
  return best;
}

function takesMore(prefill: PrefillReplica, nowMs: number): boolean {
  return prefill.isAvailable(nowMs) && prefill.backlogMs(nowMs) <= LOOKAHEAD_MS;
}

/** Prefers the earlier first token; between equals, the replica that the prompt's head is hashed to. */
function isBetter(
  placement: Placement,
  options: { best: Placement; request: GrantRequest },
): boolean {
  const { best, request } = options;
  const gainMs = best.firstTokenMs - placement.firstTokenMs;
  if (Math.abs(gainMs) > 1) return gainMs > 0;
  const head = request.blocks[0] ?? "";
  return affinity(head, placement.prefill) > affinity(head, best.prefill);
}

function affinity(head: string, prefill: PrefillReplica): number {
  const text = head + prefill.id;
  let hash = 0x811c9dc5;
  for (let at = 0; at < text.length; at += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(at), 0x01000193);
  }
  return hash >>> 0;
}
