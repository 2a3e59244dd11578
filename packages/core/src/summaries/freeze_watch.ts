/** Notices that the process did not run for a while. */

const BEAT_MS = 100;
/** A gap that the event loop doesn't show while it works; a peer may have taken over meanwhile. */
export const FREEZE_GAP_MS = 400;

/** Owns a heartbeat timer and compares each use of the clock with it. */
export class FreezeWatch {
  #onFreeze: (gapMs: number) => void;
  #lastBeatMs = performance.now();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(onFreeze: (gapMs: number) => void) {
    this.#onFreeze = onFreeze;
  }

  start(): void {
    this.#lastBeatMs = performance.now();
    this.#timer = setInterval(() => this.#beat(), BEAT_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /** Returns the time, after telling of a gap since the last beat. */
  check(): number {
    const nowMs = performance.now();
    const gapMs = nowMs - this.#lastBeatMs;
    if (gapMs > FREEZE_GAP_MS && this.#timer !== undefined) {
      this.#lastBeatMs = nowMs;
      this.#onFreeze(gapMs);
    }
    return nowMs;
  }

  #beat(): void {
    this.check();
    this.#lastBeatMs = performance.now();
  }
}
