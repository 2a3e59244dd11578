/** A rate limiter that schedules the retries of refused requests for when they can be admitted. */

/** Longest time after which a refused request is told to retry. */
const MAX_RETRY_AFTER_MS = 30_000;
const MS_PER_SECOND = 1_000;

/** The clock of `performance.now`, in milliseconds. */
export type MonotonicMs = number;

/** Token bucket that refills at a rate; a request larger than the bucket may leave it in debt. */
export class RateBucket {
  #level = 1;
  #filledAtMs: MonotonicMs;
  /** Earliest time for the next scheduled retry, after those already scheduled. */
  #nextRetryAtMs: MonotonicMs = 0;

  constructor(nowMs: MonotonicMs) {
    this.#filledAtMs = nowMs;
  }

  /** Refills the bucket up to now, to at most one second's worth, or 1 if that is more. */
  fill(perSecond: number, nowMs: MonotonicMs): void {
    const added = (nowMs - this.#filledAtMs) * perSecond / MS_PER_SECOND;
    this.#filledAtMs = nowMs;
    this.#level = Math.min(Math.max(1, perSecond), this.#level + added);
  }

  /** Whether a request of this size is admitted now; a level of 1 is enough for any size. */
  allows(amount: number): boolean {
    return this.#level >= Math.min(1, amount);
  }

  /** Takes an amount, even if that leaves a debt. */
  take(amount: number): void {
    this.#level -= amount;
  }

  /** Time until a request is admitted, at the given rate; 0 if one is now. */
  waitMs(perSecond: number): number {
    return Math.max(0, 1 - this.#level) / perSecond * MS_PER_SECOND;
  }

  /**
   * Schedules the retry of a refused request of this size, after those refused
   * before it. Returns the wait in milliseconds.
   */
  scheduleRetry(
    amount: number,
    options: { perSecond: number; nowMs: MonotonicMs },
  ): number {
    const { perSecond, nowMs } = options;
    const refillMs = this.waitMs(perSecond);
    const ownMs = amount / perSecond * MS_PER_SECOND;
    const readyAtMs = Math.max(nowMs + refillMs, this.#nextRetryAtMs);
    this.#nextRetryAtMs = Math.min(
      readyAtMs + ownMs,
      nowMs + MAX_RETRY_AFTER_MS,
    );
    return Math.min(MAX_RETRY_AFTER_MS, Math.ceil(readyAtMs - nowMs));
  }
}
