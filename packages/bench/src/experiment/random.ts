/** Seeded random numbers from the distributions that workloads use. */
import { seededRandom } from "@teaselvalve/fakes";

/** Generates random numbers; the same seed gives the same sequence. */
export class RandomSource {
  #next: () => number;

  constructor(seed: number) {
    this.#next = seededRandom(seed);
  }

  /** Draws a number in [0, 1). */
  uniform(): number {
    return this.#next();
  }

  /** Returns true with the given probability. */
  chance(probability: number): boolean {
    return this.#next() < probability;
  }

  /** Draws an integer in [0, `count`). */
  below(count: number): number {
    return Math.floor(this.#next() * count);
  }

  /** Draws from an exponential distribution with the given mean. */
  exponential(mean: number): number {
    return -mean * Math.log(1 - this.#next());
  }

  /** Draws from a log-normal distribution; `sigma` is the standard deviation of the logarithm. */
  logNormal(median: number, sigma: number): number {
    return median * Math.exp(sigma * this.#normal());
  }

  #normal(): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.#next()));
    return radius * Math.cos(2 * Math.PI * this.#next());
  }
}
