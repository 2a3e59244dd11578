/** Counts events with a weight that halves with time. */

const DEFAULT_HALF_LIFE_MS = 1_000;

/** A count in which older events weigh less. */
export class DecayingCount {
  #value = 0;
  #atMs = performance.now();
  readonly #halfLifeMs: number;

  constructor({ halfLifeMs = DEFAULT_HALF_LIFE_MS } = {}) {
    this.#halfLifeMs = halfLifeMs;
  }

  add(amount = 1): void {
    this.#value = this.current() + amount;
    this.#atMs = performance.now();
  }

  current(): number {
    const elapsedMs = performance.now() - this.#atMs;
    return this.#value * 2 ** (-elapsedMs / this.#halfLifeMs);
  }

  /** Average of what was added per millisecond lately. */
  ratePerMs(): number {
    return (this.current() * Math.LN2) / this.#halfLifeMs;
  }
}
