/**
 * Detects that the process did not run for a time, as when its VM was paused.
 */

const HEARTBEAT_INTERVAL_MS = 100;

/** Options of {@link FreezeDetector}. Gaps are in milliseconds. */
export interface FreezeDetectorOptions {
  /** Whether a gap between heartbeats means that the process did not run. */
  isFreeze: (gapMs: number) => boolean;
  /** Called with the gap when a freeze is detected. */
  onFreeze: (gapMs: number) => void;
}

/** Runs a heartbeat timer and compares the clock with the last heartbeat. */
export class FreezeDetector {
  #options: FreezeDetectorOptions;
  #lastHeartbeatMs = performance.now();
  #timer: ReturnType<typeof setInterval> | undefined;

  constructor(options: FreezeDetectorOptions) {
    this.#options = options;
  }

  start(): void {
    this.#lastHeartbeatMs = performance.now();
    this.#timer = setInterval(() => this.#heartbeat(), HEARTBEAT_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#timer = undefined;
  }

  /**
   * Reports a freeze if there was one since the last heartbeat. Returns
   * `performance.now()`.
   */
  check(): number {
    const nowMs = performance.now();
    const gapMs = nowMs - this.#lastHeartbeatMs;
    if (this.#options.isFreeze(gapMs) && this.#timer !== undefined) {
      this.#lastHeartbeatMs = nowMs;
      this.#options.onFreeze(gapMs);
    }
    return nowMs;
  }

  #heartbeat(): void {
    this.check();
    this.#lastHeartbeatMs = performance.now();
  }
}
