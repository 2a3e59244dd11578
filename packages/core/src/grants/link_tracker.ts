/** The transfers out of one prefill replica, which share its link evenly. */
import type { StreamId } from "../common/ids.ts";

/** A transfer that will start. */
export interface PlannedTransfer {
  readonly stream: StreamId;
  readonly startAtMs: number;
  /** Time that it takes when alone on the link. */
  readonly aloneMs: number;
  readonly dueAtMs: number;
}

interface Transfer {
  readonly stream: StreamId;
  readonly dueAtMs: number;
  leftMs: number;
}

/** Follows transfers and foresees when they end. */
export class LinkTracker {
  #transfers = new Map<StreamId, Transfer>();
  #atMs = 0;

  /** How many transfers are under way. */
  get size(): number {
    return this.#transfers.size;
  }

  /** Notes that a transfer has started. */
  start(transfer: PlannedTransfer): void {
    this.#advance(transfer.startAtMs);
    const { stream, aloneMs, dueAtMs } = transfer;
    this.#transfers.set(stream, { stream, dueAtMs, leftMs: aloneMs });
  }

  /** Notes that a transfer has ended. */
  end(stream: StreamId, nowMs: number): void {
    this.#advance(nowMs);
    this.#transfers.delete(stream);
  }

  /** Forgets all transfers. */
  clear(): void {
    this.#transfers.clear();
  }

  /** Work that is left on the link, as time alone on it. */
  remainingMs(nowMs: number): number {
    this.#advance(nowMs);
    let leftMs = 0;
    for (const transfer of this.#transfers.values()) leftMs += transfer.leftMs;
    return leftMs;
  }

  /** Foresees when each transfer ends, with those that are planned. */
  predictEnds(
    planned: readonly PlannedTransfer[],
    nowMs: number,
  ): Map<StreamId, { endMs: number; dueAtMs: number }> {
    this.#advance(nowMs);
    const active = [...this.#transfers.values()].map((one) => ({ ...one }));
    const coming = [...planned].sort((a, b) => a.startAtMs - b.startAtMs);
    const ends = new Map<StreamId, { endMs: number; dueAtMs: number }>();
    let atMs = nowMs;
    while (active.length > 0 || coming.length > 0) {
      const leastMs = Math.min(...active.map((one) => one.leftMs));
      const endMs = atMs + leastMs * active.length;
      const startMs = coming[0]?.startAtMs ?? Number.POSITIVE_INFINITY;
      const untilMs = Math.max(
        atMs,
        active.length > 0 ? Math.min(endMs, startMs) : startMs,
      );
      const shareMs = active.length > 0 ? (untilMs - atMs) / active.length : 0;
      for (const one of active) one.leftMs -= shareMs;
      atMs = untilMs;
      if (startMs <= atMs) {
        const { stream, aloneMs, dueAtMs } = coming.shift()!;
        active.push({ stream, dueAtMs, leftMs: aloneMs });
        continue;
      }
      const at = active.findIndex((one) => one.leftMs <= 1e-6);
      const [ended] = active.splice(Math.max(0, at), 1);
      ends.set(ended!.stream, { endMs: atMs, dueAtMs: ended!.dueAtMs });
    }
    return ends;
  }

  #advance(nowMs: number): void {
    let leftMs = nowMs - this.#atMs;
    this.#atMs = Math.max(this.#atMs, nowMs);
    // A transfer that should have ended takes no more of the link.
    while (leftMs > 1e-6) {
      const active = [...this.#transfers.values()].filter((one) =>
        one.leftMs > 0
      );
      if (active.length === 0) return;
      const leastMs = Math.min(...active.map((one) => one.leftMs));
      const shareMs = Math.min(leastMs, leftMs / active.length);
      for (const one of active) one.leftMs -= shareMs;
      leftMs -= shareMs * active.length;
    }
  }
}
