/**
 * Detects that the machine was suspended. The monotonic clock may not advance
 * during a suspension.
 */

/** Smaller clock differences are adjustments of the time of day. */
const MIN_SUSPENSION_MS = 200;

/** Compares the time of day with the monotonic clock since its creation. */
export class SuspensionDetector {
  #offsetMs = currentOffsetMs();

  /**
   * Returns how long the machine was suspended since this object was created.
   * Setting the time of day forward counts as a suspension too. Its only cost
   * is that the calling code repeats some work.
   */
  suspendedMs(): number {
    const suspendedMs = currentOffsetMs() - this.#offsetMs;
    return suspendedMs < MIN_SUSPENSION_MS ? 0 : suspendedMs;
  }
}

function currentOffsetMs(): number {
  return Date.now() - performance.now();
}
