// Plays streams on engines of several shards, and checks how evenly the shards are used.
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { hash48 } from "../../common/hash.ts";
import { shardCountOf } from "../placement/shards.ts";
import {
  createRandom,
  drawLogNormal,
  type LoadStream,
  SimulatedPool,
} from "../testing/engine_pool.ts";
import { quantile } from "../testing/plain_pool.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENGINE = { slots: 16, kvTokens: 25_084, tokensPerMs: 0.18 };
const TICK_MS = 5;
const WINDOW_MS = 100;
/** Time until as many streams end as begin. */
const RAMP_MS = 3_000;
const PLAY_MS = 6_000;
const DRAIN_MS = 6_000;
const SEEDS = [7_919, 15_838, 23_757, 31_676];
const MAX_OUTPUT = 1_500;

function drawStream(random: () => number): LoadStream {
  const draw = (median: number) =>
    drawLogNormal(median, { sigma: 0.4, random });
  const outputTokens = Math.min(MAX_OUTPUT, draw(480));
  return {
    promptTokens: Math.min(6_900, draw(2_950)),
    outputTokens,
    expectedTokens: Math.min(MAX_OUTPUT, draw(outputTokens)),
    maxTokens: MAX_OUTPUT,
  };
}

interface Deployment {
  readonly vms: number;
  readonly engines: number;
  /** Streams per second and engine; at 1.2 the engines are half full. */
  readonly ratePerEngine: number;
}

/** Mean ratios of the fullest engine and the fullest shard to the mean, in windows of 100 ms. */
async function play(
  { vms, engines, ratePerEngine }: Deployment,
  { seed, isBalancing }: { seed: number; isBalancing: boolean },
) {
  const random = createRandom(seed);
  const pool = new SimulatedPool({ ...ENGINE, vms, engines, isBalancing });
  const shardCount = shardCountOf(engines);
  const shardOf = (index: number) =>
    hash48(pool.engines[index]!.entry.id) % shardCount;
  const ratios: { engine: number; shard: number }[] = [];
  let due = 0;
  for (let atMs = 0; atMs < PLAY_MS; atMs += TICK_MS) {
    due += ratePerEngine * engines * TICK_MS / 1_000;
    for (; due >= 1; due -= 1) pool.send(drawStream(random));
    await vi.advanceTimersByTimeAsync(TICK_MS);
    if (atMs < RAMP_MS || atMs % WINDOW_MS !== 0) continue;
    const held = pool.engines.map((engine) => engine.heldTokens);
    const mean = average(held);
    const shards = Array.from(
      { length: shardCount },
      (_, shard) =>
        average(held.filter((_, index) => shardOf(index) === shard)),
    );
    ratios.push({
      engine: Math.max(...held) / mean,
      shard: Math.max(...shards) / mean,
    });
  }
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  const { outcomes } = pool;
  const served = outcomes.filter(({ kind }) => kind === "served");
  return {
    engineRatio: average(ratios.map(({ engine }) => engine)),
    shardRatio: average(ratios.map(({ shard }) => shard)),
    refusedShare: outcomes.filter(({ kind }) => kind === "refused").length /
      outcomes.length,
    p99Ms: quantile(served.map(({ afterMs }) => afterMs), 0.99),
  };
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The mean of several plays: a single one says little, as chance decides on most of it. */
async function playAll(deployment: Deployment, isBalancing: boolean) {
  const results: Awaited<ReturnType<typeof play>>[] = [];
  for (const seed of SEEDS) {
    results.push(await play(deployment, { seed, isBalancing }));
  }
  const mean = (key: keyof (typeof results)[number]) =>
    average(results.map((result) => result[key]));
  return {
    engineRatio: mean("engineRatio"),
    shardRatio: mean("shardRatio"),
    refusedShare: mean("refusedShare"),
    p99Ms: mean("p99Ms"),
  };
}

test.each([
  { vms: 9, engines: 63, ratePerEngine: 1.2 },
  { vms: 71, engines: 63, ratePerEngine: 1.2 },
])(
  "Shards are used more evenly than at random, and streams wait no longer: $vms VMs, $engines engines",
  async (deployment) => {
    const before = await playAll(deployment, false);
    const after = await playAll(deployment, true);
    expect(after.shardRatio).toBeLessThan(before.shardRatio);
    expect(after.engineRatio).toBeLessThan(before.engineRatio);
    expect(after.refusedShare).toBeLessThanOrEqual(before.refusedShare + 0.01);
    expect(after.p99Ms).toBeLessThanOrEqual(1.05 * before.p99Ms);
  },
);
