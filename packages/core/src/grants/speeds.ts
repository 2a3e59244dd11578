/** Running estimates of how fast a model's replicas are, learned from what owners and load reports tell. */

/** A line's two parameters. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

const FORGETTING = 0.995;
/** Weight of the first guess, in observations. */
const PRIOR_WEIGHT = 4;

/** Fits a line to observations, the newer ones weighing more. */
export class LinearEstimate {
  #weight = 0;
  #x = 0;
  #y = 0;
  #xx = 0;
  #xy = 0;

  /** Starts from a guess, held up by two points of the range that is expected. */
  constructor(guess: Line, range: readonly [number, number]) {
    for (const x of range) {
      this.#add(x, guess.base + guess.slope * x, PRIOR_WEIGHT);
    }
  }

  /** Takes in one observation. */
  observe(x: number, y: number): void {
    this.#weight *= FORGETTING;
    this.#x *= FORGETTING;
    this.#y *= FORGETTING;
    this.#xx *= FORGETTING;
    this.#xy *= FORGETTING;
    this.#add(x, y, 1);
  }

  /** Gives the expected value. */
  predict(x: number): number {
    const spread = this.#weight * this.#xx - this.#x * this.#x;
    const meanX = this.#x / this.#weight;
    const meanY = this.#y / this.#weight;
    if (spread <= Number.EPSILON) return meanY;
    const slope = Math.max(
      0,
      (this.#weight * this.#xy - this.#x * this.#y) / spread,
    );
    return Math.max(0, meanY + slope * (x - meanX));
  }

  #add(x: number, y: number, weight: number): void {
    this.#weight += weight;
    this.#x += weight * x;
    this.#y += weight * y;
    this.#xx += weight * x * x;
    this.#xy += weight * x * y;
  }
}

/** What is known of the speed of one model's replicas. */
export class SpeedEstimates {
  /** Time of a prefill by its uncached tokens. */
  readonly prefillMs = new LinearEstimate(
    { base: 15, slope: 0.025 },
    [100, 8_000],
  );
  /** Time of a transfer that is alone on its link, by its tokens. */
  readonly transferMs = new LinearEstimate(
    { base: 1, slope: 0.03 },
    [100, 8_000],
  );
  /** Time of a decode step by the members of the batch. */
  readonly stepMs = new LinearEstimate({ base: 12, slope: 0.4 }, [1, 20]);
}
