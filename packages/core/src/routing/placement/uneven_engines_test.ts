// Plays streams on engines of uneven speed, with and without measuring their speeds.
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  createRandom,
  drawLogNormal,
  SimulatedPool,
  type SimulatedPoolOptions,
} from "../testing/engine_pool.ts";
import { quantile } from "../testing/plain_pool.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENGINES = 14;
const OPTIONS: SimulatedPoolOptions = {
  vms: 21,
  engines: ENGINES,
  slots: 16,
  kvTokens: 25_084,
  tokensPerMs: 0.18,
  maxEventGapMs: 300,
};
const TICK_MS = 5;
const PLAY_MS = 8_000;
const DRAIN_MS = 20_000;
const MAX_OUTPUT = 1_500;
const TARGET_MS = 900;

async function play(
  { slownessOf, ratePerEngine, seed = 7_919, ...options }:
    & {
      slownessOf: (engine: number, nowMs: number) => number;
      ratePerEngine: number;
      seed?: number;
    }
    & Partial<SimulatedPoolOptions>,
) {
  const random = createRandom(seed);
  const pool = new SimulatedPool({ ...OPTIONS, ...options });
  let due = 0;
  for (let atMs = 0; atMs < PLAY_MS; atMs += TICK_MS) {
    pool.engines.forEach((engine, index) => {
      engine.slowness = slownessOf(index, atMs);
    });
    due += ratePerEngine * ENGINES * TICK_MS / 1_000;
    for (; due >= 1; due -= 1) {
      const draw = (median: number) =>
        drawLogNormal(median, { sigma: 0.4, random });
      const outputTokens = Math.min(MAX_OUTPUT, draw(480));
      pool.send({
        promptTokens: Math.min(6_900, draw(2_950)),
        outputTokens,
        expectedTokens: Math.min(MAX_OUTPUT, draw(outputTokens)),
        maxTokens: MAX_OUTPUT,
      });
    }
    await vi.advanceTimersByTimeAsync(TICK_MS);
  }
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  const { outcomes, preempted } = pool;
  const served = outcomes.filter(({ kind }) => kind === "served");
  const share = (count: number) => count / outcomes.length;
  return {
    outcomes,
    onTime: share(served.filter(({ afterMs }) => afterMs <= TARGET_MS).length),
    refused: share(outcomes.filter(({ kind }) => kind === "refused").length),
    preempted,
    p99Ms: quantile(served.map(({ afterMs }) => afterMs), 0.99),
    /** Share of the streams that were placed at the first engines. */
    shareOfFirst: (count: number) => {
      const ids = pool.engines.slice(0, count).map(({ entry }) => entry.id);
      const isThere = (id?: string) => ids.some((other) => other === id);
      return share(outcomes.filter(({ engine }) => isThere(engine)).length);
    },
  };
}

/** A quarter of the engines at 0.55 of the nominal speed, the others at 1.2. */
const quarterSlow = (engine: number) =>
  engine < ENGINES / 4 ? 1 / 0.55 : 1 / 1.2;

test("On engines of equal speed, nothing changes", async () => {
  const load = { slownessOf: () => 1, ratePerEngine: 2 };
  const before = await play({ ...load, measuresSpeeds: false });
  const after = await play(load);
  expect(after.outcomes).toEqual(before.outcomes);
});

test(
  "A quarter of slow engines gets fewer streams, and no more streams are late or refused",
  async () => {
    const mean = { before: 0, after: 0 };
    for (const seed of [7_919, 15_838]) {
      const load = { slownessOf: quarterSlow, ratePerEngine: 2.2, seed };
      const before = await play({ ...load, measuresSpeeds: false });
      const after = await play(load);
      mean.before += before.onTime / 2;
      mean.after += after.onTime / 2;
      expect(after.shareOfFirst(4)).toBeLessThan(before.shareOfFirst(4));
    }
    // The plays of one load differ by chance, as each placement changes all later ones.
    expect(mean.after).toBeGreaterThan(mean.before - 0.01);
  },
  30_000,
);

test("Engines whose events come too late get fewer streams while others have room, but not none, which shows when they are fast again", async () => {
  const untilMs = 5_000;
  const load = {
    slownessOf: (engine: number, nowMs: number) =>
      engine < 2 && nowMs < untilMs ? 10 : 1,
    ratePerEngine: 1,
  };
  const before = await play({ ...load, measuresSpeeds: false });
  const after = await play(load);
  console.info(
    "LATE",
    before.shareOfFirst(2),
    after.shareOfFirst(2),
    before.p99Ms,
    after.p99Ms,
  );
  expect(after.shareOfFirst(2)).toBeLessThan(0.8 * before.shareOfFirst(2));
  expect(after.shareOfFirst(2)).toBeGreaterThan(0);
});
