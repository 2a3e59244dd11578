/** Tells how long bytes may have waited in the kernel before this process read them. */

const TICK_MS = 20;
const MIN_CATCH_UP_MS = 50;

/**
 * Measures the stalls of the event loop. What arrived in one is read after it, which may
 * take as long again, as connections are accepted one after the other.
 */
export class UnreadTime {
  #timer: ReturnType<typeof setInterval> | undefined;
  #tickedAtMs = 0;
  #stallMs = 0;
  #stallEndedAtMs = -Infinity;

  /** Begins to measure, without keeping the process alive; further calls have no effect. */
  start(): void {
    if (this.#timer) return;
    this.#tickedAtMs = performance.now();
    this.#timer = setInterval(() => this.#tick(), TICK_MS).unref();
  }

  /** Time that what is read now may have waited, in milliseconds. */
  boundMs(): number {
    const nowMs = performance.now();
    return Math.max(this.#lateMs(nowMs), this.#recentStallMs(nowMs));
  }

  #tick(): void {
    const nowMs = performance.now();
    const lateMs = this.#lateMs(nowMs);
    if (lateMs >= this.#recentStallMs(nowMs)) {
      this.#stallMs = lateMs;
      this.#stallEndedAtMs = nowMs;
    }
    this.#tickedAtMs = nowMs;
  }

  #recentStallMs(nowMs: number): number {
    const catchUpMs = Math.max(MIN_CATCH_UP_MS, this.#stallMs);
    return nowMs - this.#stallEndedAtMs < catchUpMs ? this.#stallMs : 0;
  }

  #lateMs(nowMs: number): number {
    return Math.max(0, nowMs - this.#tickedAtMs - TICK_MS);
  }
}

/** The event loop of this process. */
export const PROCESS_UNREAD_TIME: UnreadTime = new UnreadTime();
