/** Counts work that a planned stop must not cut off. */

/** Told of work that begins and ends. */
export interface InProgressTracker {
  begin(): void;
  end(): void;
}

/** Counts work and tells when there is none left. */
export class InProgressCounter implements InProgressTracker {
  #count = 0;
  #onIdle: () => void;

  constructor(onIdle: () => void) {
    this.#onIdle = onIdle;
  }

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

  /** Begins one piece of work; the function returned ends it, however often it is called. */
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
