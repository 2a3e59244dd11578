/** Advances the clock between other commands. */
import fc from "fast-check";
import type { FuzzCommand, FuzzDomain } from "../fuzz_domain.ts";

/** Commands that advance the clock by 1 ms to 3 s. */
export const TIME_DOMAIN: FuzzDomain = {
  name: "time",
  createState: () => null,
  commands: [
    fc.integer({ min: 1, max: 3_000 }).map((ms): FuzzCommand => ({
      check: () => true,
      run: (_model, world) => world.advance(ms),
      toString: () => `advance(${ms})`,
    })),
  ],
  checks: [],
  mutants: [],
};
