import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createRandom } from "../testing/engine_pool.ts";
import { ShardLoads } from "./shard_loads.ts";

const KV_TOKENS = 10_000;
const SHARDS = [{ key: "a", engines: 10 }, { key: "b", engines: 10 }];
const DRAWS = 4_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** The share of streams that ask shard `a` first. */
function shareOfA(
  loads: ShardLoads,
  shards: readonly { key: string; engines: number }[] = SHARDS,
): number {
  const random = createRandom(3);
  let first = 0;
  for (let n = 0; n < DRAWS; n += 1) {
    const [drawn] = loads.order(shards, { kvTokens: KV_TOKENS, random });
    if (drawn!.key === "a") first += 1;
  }
  return first / DRAWS;
}

test("Shards are drawn by their numbers of engines while a load isn't known, also of homes of an earlier build", () => {
  const loads = new ShardLoads();
  loads.note("a", { engines: 10, heldTokens: 90_000 });
  loads.note("b", undefined);
  expect(shareOfA(loads)).toBeCloseTo(0.5, 1);
  const uneven = [{ key: "a", engines: 6 }, { key: "b", engines: 18 }];
  expect(shareOfA(loads, uneven)).toBeCloseTo(0.25, 1);
});

test("With equal loads, shards are drawn by their numbers of engines", () => {
  const loads = new ShardLoads();
  for (const key of ["a", "b"]) {
    loads.note(key, { engines: 10, heldTokens: 50_000 });
  }
  expect(shareOfA(loads)).toBeCloseTo(0.5, 1);
});

test("A shard with more free memory is asked more often, but not by all VMs at a time", () => {
  const loads = new ShardLoads();
  loads.note("a", { engines: 10, heldTokens: 40_000 });
  loads.note("b", { engines: 10, heldTokens: 70_000 });
  expect(shareOfA(loads)).toBeGreaterThan(0.7);
  expect(shareOfA(loads)).toBeLessThan(0.97);
});

test("A full shard is still asked now and then, which renews its figure", () => {
  const loads = new ShardLoads();
  loads.note("a", { engines: 10, heldTokens: 100_000 });
  loads.note("b", { engines: 10, heldTokens: 50_000 });
  expect(shareOfA(loads)).toBeGreaterThan(0);
  expect(shareOfA(loads)).toBeLessThan(0.05);
});

test("A VM's own streams since the last figure count as load, until the next figure", () => {
  const loads = new ShardLoads();
  const figure = { engines: 10, heldTokens: 50_000 };
  for (const key of ["a", "b"]) loads.note(key, figure);
  const stream = {
    promptTokens: 3_000,
    generatedTokens: 0,
    expectedTokens: 500,
    maxTokens: 1_000,
  };
  for (let n = 0; n < 8; n += 1) loads.notePlaced("a", stream);
  expect(shareOfA(loads)).toBeLessThan(0.3);
  loads.note("a", figure);
  expect(shareOfA(loads)).toBeCloseTo(0.5, 1);
});

test("A figure expires, and one that no home can have meant is left out", () => {
  const loads = new ShardLoads();
  loads.note("a", { engines: 10, heldTokens: 10_000 });
  loads.note("b", { engines: 10, heldTokens: 90_000 });
  vi.advanceTimersByTime(3_001);
  expect(shareOfA(loads)).toBeCloseTo(0.5, 1);
  loads.note("a", { engines: 0, heldTokens: 10_000 });
  loads.note("b", { engines: 10, heldTokens: NaN });
  expect(shareOfA(loads)).toBeCloseTo(0.5, 1);
});
