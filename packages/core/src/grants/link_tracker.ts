/** Tracks the transfers out of one prefill replica, which share its link evenly. */
import type { StreamId } from "../common/ids.ts";

/** A transfer that starts at a known or expected time. */
export interface PlannedTransfer {
  readonly stream: StreamId;
  readonly startAtMs: number;
  /** Duration if it had the link to itself. */
  readonly unsharedMs: number;
  /** When it must have ended for the first token to be in time. */
  readonly dueAtMs: number;
}

interface Transfer {
  readonly stream: StreamId;
  readonly dueAtMs: number;
  /** Remaining duration if it had the link to itself. */
  remainingMs: number;
}

/** Simulates the transfers on a link and predicts when they end. */
export class LinkTracker {
  #transfers = new Map<StreamId, Transfer>();
  /** Time up to which the remaining durations are accounted for. */
  #advancedToMs = 0;

  /** Number of transfers in progress. */
  get size(): number {
    return this.#transfers.size;
  }

  /** Records the start of a transfer. */
  start(transfer: PlannedTransfer): void {
    this.#advance(transfer.startAtMs);
    const { stream, unsharedMs, dueAtMs } = transfer;
    this.#transfers.set(stream, { stream, dueAtMs, remainingMs: unsharedMs });
  }

  /** Records the end of a transfer. */
  end(stream: StreamId, nowMs: number): void {
    this.#advance(nowMs);
    this.#transfers.delete(stream);
  }

  /** Removes all transfers. */
  clear(): void {
    this.#transfers.clear();
  }

  /** Time that the link needs for the rest of the transfers in progress. */
  remainingMs(nowMs: number): number {
    this.#advance(nowMs);
    let totalMs = 0;
    for (const one of this.#transfers.values()) totalMs += one.remainingMs;
    return totalMs;
  }

  /**
   * Predicts when each transfer ends, those in progress and the planned ones,
   * if nothing else starts.
   */
  predictEnds(
    planned: readonly PlannedTransfer[],
    nowMs: number,
  ): Map<StreamId, { endMs: number; dueAtMs: number }> {
    this.#advance(nowMs);
    const active = [...this.#transfers.values()].map((one) => ({ ...one }));
    const upcoming = [...planned].sort((a, b) => a.startAtMs - b.startAtMs);
    const ends = new Map<StreamId, { endMs: number; dueAtMs: number }>();
    let atMs = nowMs;
    while (active.length > 0 || upcoming.length > 0) {
      const shortestMs = Math.min(...active.map((one) => one.remainingMs));
      const endMs = atMs + shortestMs * active.length;
      const startMs = upcoming[0]?.startAtMs ?? Number.POSITIVE_INFINITY;
      const untilMs = Math.max(
        atMs,
        active.length > 0 ? Math.min(endMs, startMs) : startMs,
      );
      const shareMs = active.length > 0 ? (untilMs - atMs) / active.length : 0;
      for (const one of active) one.remainingMs -= shareMs;
      atMs = untilMs;
      if (startMs <= atMs) {
        const { stream, unsharedMs, dueAtMs } = upcoming.shift()!;
        active.push({ stream, dueAtMs, remainingMs: unsharedMs });
        continue;
      }
      const index = active.findIndex((one) => one.remainingMs <= 1e-6);
      const [ended] = active.splice(Math.max(0, index), 1);
      ends.set(ended!.stream, { endMs: atMs, dueAtMs: ended!.dueAtMs });
    }
    return ends;
  }

  #advance(nowMs: number): void {
    let unassignedMs = nowMs - this.#advancedToMs;
    this.#advancedToMs = Math.max(this.#advancedToMs, nowMs);
    // A transfer that should have ended by now takes no further share of the link.
    while (unassignedMs > 1e-6) {
      const active = [...this.#transfers.values()].filter((one) =>
        one.remainingMs > 0
      );
      if (active.length === 0) return;
      const shortestMs = Math.min(...active.map((one) => one.remainingMs));
      const shareMs = Math.min(shortestMs, unassignedMs / active.length);
      for (const one of active) one.remainingMs -= shareMs;
      unassignedMs -= shareMs * active.length;
    }
  }
}
