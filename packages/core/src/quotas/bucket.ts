/** A bucket that fills at a rate and tells truly when it will have enough again. */

/** Longest time after which a refused request is told to come back. */
const MAX_RETRY_AFTER_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** The clock of `performance.now`, in milliseconds. */
export type MonotonicMs = number;

/** Holds what a rate allows; a request larger than the bucket may leave it in debt. */
export class RateBucket {
  #level = 1;
  #filledAtMs: MonotonicMs;
  /** When the last refused request was told to come back. */
  #promisedAtMs: MonotonicMs = 0;

  constructor(nowMs: MonotonicMs) {
    this.#filledAtMs = nowMs;
  }

  /** Fills the bucket up to now; it never holds more than one second's worth, or one. */
  fill(perSecond: number, nowMs: MonotonicMs): void {
    const added = (nowMs - this.#filledAtMs) * perSecond / MS_PER_SECOND;
    this.#filledAtMs = nowMs;
    this.#level = Math.min(Math.max(1, perSecond), this.#level + added);
  }

  /** Whether a request of this size may go now. */
  allows(amount: number): boolean {
    return this.#level >= Math.min(1, amount);
  }

  /** Takes an amount, also where that leaves a debt. */
  take(amount: number): void {
    this.#level -= amount;
  }

  /** Tells when a refused request of this size may go, after those refused before it. */
  scheduleRetry(
    amount: number,
    options: { perSecond: number; nowMs: MonotonicMs },
  ): number {
    const { perSecond, nowMs } = options;
    const lackingMs = Math.max(0, 1 - this.#level) / perSecond * MS_PER_SECOND;
    const ownMs = amount / perSecond * MS_PER_SECOND;
    const readyAtMs = Math.max(nowMs + lackingMs, this.#promisedAtMs);
    this.#promisedAtMs = Math.min(
      readyAtMs + ownMs,
      nowMs + MAX_RETRY_AFTER_MS,
    );
    return Math.min(MAX_RETRY_AFTER_MS, Math.ceil(readyAtMs - nowMs));
  }
}
