/** Counts the work that a graceful shutdown waits for. */

/** Is notified when a piece of work begins and when it ends. */
export interface InProgressTracker {
  begin(): void;
  end(): void;
}

/** Counts work in progress and calls `onIdle` when the count returns to 0. */
export class InProgressCounter implements InProgressTracker {
  #count = 0;
  #onIdle: () => void;

  constructor(onIdle: () => void) {
    this.#onIdle = onIdle;
  }

  /** Pieces of work that have begun and not ended. */
  get count(): number {
    return this.#count;
  }

  begin(): void {
    this.#count += 1;
  }

  end(): void {
    this.#count -= 1;
    if (this.#count === 0) this.#onIdle();
  }

  /**
   * Begins one piece of work. The returned function ends it; further calls of
   * that function have no effect.
   */
  track(): () => void {
    this.begin();
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      this.end();
    };
  }
}
