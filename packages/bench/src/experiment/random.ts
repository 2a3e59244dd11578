/** Seeded draws from the distributions that workloads use. */
import { seededRandom } from "@teaselvalve/fakes";

/** Draws numbers; the same seed gives the same draws. */
export class RandomSource {
  #next: () => number;

  constructor(seed: number) {
    this.#next = seededRandom(seed);
  }

  /** A number from 0 up to 1. */
  uniform(): number {
    return this.#next();
  }

  /** True with the given probability. */
  chance(share: number): boolean {
    return this.#next() < share;
  }

  /** A whole number from 0 up to `count`. */
  below(count: number): number {
    return Math.floor(this.#next() * count);
  }

  /** Exponentially distributed. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.#next());
  }

  /** Log-normal with a median and the sigma of its logarithm. */
  logNormal(median: number, sigma: number): number {
    return median * Math.exp(sigma * this.#normal());
  }

  #normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#next()));
    return radius * Math.cos(2 * Math.PI * this.#next());
  }
}
