/** Random numbers that a seed repeats. */
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Gives a seeded source of numbers from 0 up to 1. */
export function seededRandom(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => (generator.next() >>> 0) / 0x1_0000_0000;
}
