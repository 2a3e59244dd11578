/** What a process takes of its memory beside what a budget counts. */

/** A measurement that is younger is used again. */
const MEASURE_INTERVAL_MS = 10;
const WINDOW_MS = 500;

/** Options of {@link MeasuredMemory}. */
export interface MeasuredMemoryOptions {
  /** Memory that the process may take, in bytes. */
  limitBytes: number;
  /** Returns the memory that it takes now, in bytes; null if that can't be read. */
  readBytes: () => number | null;
}

/**
 * Measures how much of a process's memory is left for what a budget counts. Memory that
 * is reserved and not filled yet isn't taken, so that the most of the last windows counts.
 */
export class MeasuredMemory {
  #options: MeasuredMemoryOptions;
  #measuredAtMs = -Infinity;
  #windowEndsAtMs = -Infinity;
  /** Most memory beside the budget, in this window and in the one before. */
  #besideBytes = 0;
  #besideBytesBefore = 0;

  constructor(options: MeasuredMemoryOptions) {
    this.#options = options;
  }

  /** Returns what the budget may count in all, in bytes, if it counts `usedBytes` now. */
  roomBytes(usedBytes: number): number {
    const nowMs = performance.now();
    if (nowMs - this.#measuredAtMs >= MEASURE_INTERVAL_MS) {
      this.#measuredAtMs = nowMs;
      this.#measure(usedBytes, nowMs);
    }
    return this.#options.limitBytes -
      Math.max(this.#besideBytes, this.#besideBytesBefore);
  }

  #measure(usedBytes: number, nowMs: number): void {
    const takenBytes = this.#options.readBytes();
    if (takenBytes === null) return;
    if (nowMs >= this.#windowEndsAtMs) {
      this.#windowEndsAtMs = nowMs + WINDOW_MS;
      this.#besideBytesBefore = this.#besideBytes;
      this.#besideBytes = 0;
    }
    this.#besideBytes = Math.max(this.#besideBytes, takenBytes - usedBytes);
  }
}
