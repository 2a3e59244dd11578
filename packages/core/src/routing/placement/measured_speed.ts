/**
 * The speed of an engine as one VM measures it from its own requests. Answers engines
 * whose speed changes within seconds.
 */

/** Weight of the newest measurement. */
const WEIGHT = 0.3;
/** Age from which a measurement says nothing of the engine's present speed. */
const VALID_MS = 2_000;
/** Time over which the events of a stream are counted; shorter ones depend on when packets arrive. */
const SPAN_MS = 250;

/** A moving average of an engine's speed, in tokens per millisecond, which expires. */
export class MeasuredSpeed {
  #speed = 0;
  #atMs = -Infinity;

  /** Records the speed of one request, or of a part of it. */
  note(tokens: number, tookMs: number): void {
    if (tokens <= 0 || tookMs <= 0) return;
    const speed = tokens / tookMs;
    const known = this.current();
    this.#speed = known === null ? speed : known + WEIGHT * (speed - known);
    this.#atMs = performance.now();
  }

  /** Returns the speed; null if it wasn't measured lately. */
  current(): number | null {
    return performance.now() - this.#atMs < VALID_MS ? this.#speed : null;
  }
}

/** Measures the speed at which one stream's events arrive. */
export class StreamMeter {
  #measured: MeasuredSpeed;
  #sinceMs: number | null = null;
  #tokensBefore = 0;

  constructor(measured: MeasuredSpeed) {
    this.#measured = measured;
  }

  /** Records that the stream has brought so many tokens. */
  note(tokens: number): void {
    const nowMs = performance.now();
    if (this.#sinceMs === null) return this.#begin(tokens, nowMs);
    const tookMs = nowMs - this.#sinceMs;
    if (tookMs < SPAN_MS || tokens <= this.#tokensBefore) return;
    this.#measured.note(tokens - this.#tokensBefore, tookMs);
    this.#begin(tokens, nowMs);
  }

  /** Leaves out the time until the next event: the caller doesn't read. */
  pause(): void {
    this.#sinceMs = null;
  }

  #begin(tokens: number, nowMs: number): void {
    this.#sinceMs = nowMs;
    this.#tokensBefore = tokens;
  }
}
