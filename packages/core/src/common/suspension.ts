/** Notices that the machine was suspended, which the monotonic clock may not count. */

/** Differences of the clocks below this are adjustments of the time of day. */
const MIN_SUSPENSION_MS = 200;

/** A moment on both clocks. */
export class SuspensionDetector {
  #offsetMs = currentOffsetMs();

  /**
   * How long the machine was suspended since the mark. A time of day that was
   * set forward counts as well, which only costs what the caller does again.
   */
  suspendedMs(): number {
    const suspendedMs = currentOffsetMs() - this.#offsetMs;
    return suspendedMs < MIN_SUSPENSION_MS ? 0 : suspendedMs;
  }
}

function currentOffsetMs(): number {
  return Date.now() - performance.now();
}
