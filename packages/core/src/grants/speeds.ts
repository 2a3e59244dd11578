/**
 * Online estimates of how fast a shard's replicas are, from owners' progress
 * messages and load reports.
 */

/** A linear function: `base + slope * x`. */
export interface Line {
  readonly base: number;
  readonly slope: number;
}

/** Each new observation multiplies the weight of all earlier ones by this. */
const FORGETTING_FACTOR = 0.995;
/** Weight of each of the two prior points, in observations. */
const PRIOR_WEIGHT = 4;

/**
 * Linear regression by least squares with exponential forgetting, so that newer
 * observations weigh more.
 */
export class LinearEstimate {
  #weight = 0;
  #x = 0;
  #y = 0;
  #xx = 0;
  #xy = 0;

  /** Starts from a prior line, entered as two points at the ends of the expected range of x. */
  constructor(prior: Line, range: readonly [number, number]) {
    for (const x of range) {
      this.#add(x, prior.base + prior.slope * x, PRIOR_WEIGHT);
    }
  }

  /** Adds one observation. */
  observe(x: number, y: number): void {
    this.#weight *= FORGETTING_FACTOR;
    this.#x *= FORGETTING_FACTOR;
    this.#y *= FORGETTING_FACTOR;
    this.#xx *= FORGETTING_FACTOR;
    this.#xy *= FORGETTING_FACTOR;
    this.#add(x, y, 1);
  }

  /** Returns the expected value at x, never negative; the fitted slope is never negative either. */
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

/** Speed estimates of one shard's replicas, in milliseconds. */
export class SpeedEstimates {
  /** Duration of a prefill, by its number of uncached tokens. */
  readonly prefillMs = new LinearEstimate(
    { base: 15, slope: 0.025 },
    [100, 8_000],
  );
  /** Duration of a transfer that doesn't share its link, by its number of prompt tokens. */
  readonly transferMs = new LinearEstimate(
    { base: 1, slope: 0.03 },
    [100, 8_000],
  );
  /** Duration of a decode step, by batch size. */
  readonly stepMs = new LinearEstimate({ base: 12, slope: 0.4 }, [1, 20]);
}
