import { expect, test } from "vitest";
import { findStreamsToKeep } from "./kept_capacity.ts";

const STREAM = {
  promptTokens: 3_000,
  generatedTokens: 0,
  expectedTokens: 500,
  maxTokens: 1_500,
};
const TOKENS_PER_MS = 0.2;

function countKept(
  { perS, running, isLate = false }: {
    perS: number;
    running: number;
    isLate?: boolean;
  },
): number {
  const streams = Array.from(
    { length: running },
    () => ({ ...STREAM, generatedTokens: 400 }),
  );
  const kept = findStreamsToKeep(
    [{ ratePerMs: perS / 1_000, typical: STREAM }],
    {
      loads: new Map([["a", streams]]),
      stream: STREAM,
      tokensPerMs: TOKENS_PER_MS,
      isLate,
    },
  );
  return kept.length;
}

test("More capacity is kept the more streams arrive, and the longer it takes until more becomes free", () => {
  expect(countKept({ perS: 0, running: 8 })).toBe(0);
  expect(countKept({ perS: 0.1, running: 8 })).toBe(0);
  const few = countKept({ perS: 4, running: 8 });
  expect(few).toBeGreaterThan(0);
  expect(countKept({ perS: 16, running: 8 })).toBeGreaterThan(few);
  expect(countKept({ perS: 4, running: 64 })).toBeLessThan(few);
  expect(countKept({ perS: 4, running: 0 })).toBe(0);
});

test("A late stream also leaves what a growing load will need while it runs", () => {
  const load = { perS: 30, running: 8 };
  expect(countKept({ ...load, isLate: true }))
    .toBeGreaterThan(countKept(load));
});
