/** Reproducible random numbers. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Creates a seeded generator of numbers from 0 (inclusive) to 1 (exclusive). */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
}
