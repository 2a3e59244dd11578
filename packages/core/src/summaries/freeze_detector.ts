/** Notices that the process did not run for a while. */

const BEAT_MS = 100;

/** Options of {@link FreezeDetector}. */
export interface FreezeDetectorOptions {
  /** Whether a gap between heartbeats means that the process did not run. */
  isFreeze: (gapMs: number) => boolean;
  onFreeze: (gapMs: number) => void;
}

/** Owns a heartbeat timer and compares each use of the clock with it. */
export class FreezeDetector {
  #options: FreezeDetectorOptions;
  #lastBeatMs = performance.now();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: FreezeDetectorOptions) {
    this.#options = options;
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
    if (this.#options.isFreeze(gapMs) && this.#timer !== undefined) {
      this.#lastBeatMs = nowMs;
      this.#options.onFreeze(gapMs);
    }
    return nowMs;
  }

  #beat(): void {
    this.check();
    this.#lastBeatMs = performance.now();
  }
}
