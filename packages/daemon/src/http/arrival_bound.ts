/** Tells since when what a socket reads may have waited in the kernel. */
import { PROCESS_UNREAD_TIME } from "./unread_time.ts";

/**
 * Keeps the time at which one socket was last certain to have nothing to read. What it
 * reads later, its peer's close too, came after that, however many pauses and turns of
 * the event loop the read has taken.
 */
export class ArrivalBound {
  #emptyAtMs = performance.now() - PROCESS_UNREAD_TIME.boundMs();
  /** Whether nothing was left to read in a turn of the event loop. */
  #isIdle = true;
  #isPaused = false;
  #isWatching = false;
  #reads = 0;

  /** The earliest time at which what was read last can have arrived, by `performance.now()`. */
  get earliestMs(): number {
    return this.#emptyAtMs;
  }

  /**
   * Since when what is read now may have waited for a paused socket, by `performance.now()`.
   */
  get waitingSinceMs(): number {
    return this.#isIdle ? performance.now() : this.#emptyAtMs;
  }

  /** Whether the socket may have something to read that arrived while it was paused. */
  get hasUnread(): boolean {
    return !this.#isIdle;
  }

  /** Called when bytes or the end were read. */
  noteRead(): void {
    this.#reads += 1;
    if (!this.#isIdle) return;
    this.#emptyAtMs = performance.now() - PROCESS_UNREAD_TIME.boundMs();
  }

  /** Called when the socket isn't read any more. */
  notePause(): void {
    this.#isPaused = true;
    this.#isIdle = false;
  }

  /** Called when the socket is read again. */
  noteResume(): void {
    if (!this.#isPaused) return;
    this.#isPaused = false;
    if (!this.#isWatching) this.#awaitIdle();
  }

  // The kernel is asked between the one and the other.
  #awaitIdle(): void {
    this.#isWatching = true;
    const reads = this.#reads;
    const check = () => {
      this.#isWatching = false;
      if (this.#isPaused) return;
      if (this.#reads === reads) this.#isIdle = true;
      else this.#awaitIdle();
    };
    setImmediate(() => setImmediate(check));
  }
}
