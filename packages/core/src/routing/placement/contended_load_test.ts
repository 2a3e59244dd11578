// Plays loads of streams that compete for engines by priority and workspace, and
// compares what callers get with the same load where the homes are told neither.
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type WorkspaceId } from "../../common/ids.ts";
import {
  createRandom,
  drawLogNormal,
  type LoadOutcome,
  type LoadStream,
  SimulatedPool,
} from "../testing/engine_pool.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const TICK_MS = 5;
const BURST_FROM_MS = 8_000;
const BURST_TO_MS = 14_000;
const END_MS = 16_000;
const DRAIN_MS = 12_000;

/** A quarter of deployment P: engines whose memory, not slots, bounds their streams. */
const POOL = {
  vms: 18,
  engines: 12,
  slots: 12,
  kvTokens: 27_860,
  tokensPerMs: 0.18,
};
/** Streams a second, at which the engines are well used. */
const USUAL = { urgent: 2.6, other: 26 };
const URGENT = { targetMs: 806 };
const OTHER = { targetMs: 2_006 };
/** Shares of the workspaces in the load. */
const WORKSPACES = [6, 3, 2, 1, 1, 1, 1, 1];
/** The workspace that asks for a multiple of its usual rate. */
const GREEDY = 2;

const UNIFORM = { priority: 2, workspace: asId<WorkspaceId>("w") };

interface Load {
  /** Multiple of the usual rate of the lower priority during the burst. */
  readonly lowerBurst: number;
  /** Multiple of the usual rate of one workspace during the burst. */
  readonly greedyBurst: number;
  /** Whether the frequent streams are those of the higher priority. */
  readonly swapped?: boolean;
  readonly crashes?: boolean;
  /** Whether all streams have the same priority and workspace. */
  readonly isUniform?: boolean;
}

interface Source {
  readonly perS: number;
  readonly priority: number;
  readonly workspace: number;
  readonly targetMs: number;
  readonly burst: number;
}

function sourcesOf({ lowerBurst, greedyBurst, swapped = false }: Load) {
  const total = WORKSPACES.reduce((sum, share) => sum + share, 0);
  const kinds = [
    { rate: USUAL.urgent, priority: swapped ? 2 : 0, ...URGENT },
    { rate: USUAL.other, priority: swapped ? 0 : 2, ...OTHER },
  ];
  return kinds.flatMap(({ rate, priority, targetMs }) =>
    WORKSPACES.map((share, workspace): Source => ({
      perS: rate * share / total,
      priority,
      workspace,
      targetMs,
      burst: Math.max(
        priority === 2 ? lowerBurst : 1,
        workspace === GREEDY ? greedyBurst : 1,
      ),
    }))
  );
}

function drawStream(source: Source, random: () => number): LoadStream {
  const draw = (median: number) =>
    drawLogNormal(median, { sigma: 0.5, random });
  const outputTokens = Math.min(1_500, draw(460));
  return {
    promptTokens: Math.min(6_900, draw(2_900)),
    outputTokens,
    expectedTokens: Math.min(1_500, draw(outputTokens)),
    maxTokens: 1_500,
    priority: source.priority,
    workspace: asId(`w${source.workspace}`),
    targetMs: source.targetMs,
  };
}

async function play(load: Load, { tellsPriorities = true } = {}) {
  const random = createRandom(7);
  const pool = new SimulatedPool({ ...POOL, tellsPriorities });
  const due = sourcesOf(load).map((source) => ({ source, count: 0 }));
  const crashing = pool.engines.slice(0, POOL.engines / 4);
  for (let atMs = 0; atMs < END_MS; atMs += TICK_MS) {
    const isBurst = atMs >= BURST_FROM_MS && atMs < BURST_TO_MS;
    if (load.crashes && atMs === BURST_FROM_MS + 1_000) {
      for (const engine of crashing) engine.crash();
    }
    if (load.crashes && atMs === BURST_FROM_MS + 4_000) {
      for (const engine of crashing) engine.isDown = false;
    }
    for (const entry of due) {
      const { perS, burst: factor } = entry.source;
      const rate = perS * (isBurst ? factor : 1);
      if (random() >= rate * TICK_MS / 1_000) continue;
      const stream = drawStream(entry.source, random);
      pool.send(load.isUniform ? { ...stream, ...UNIFORM } : stream);
    }
    await vi.advanceTimersByTimeAsync(TICK_MS);
  }
  await vi.advanceTimersByTimeAsync(DRAIN_MS);
  vi.clearAllTimers();
  return describe(pool);
}

function describe({ outcomes }: SimulatedPool) {
  const isOnTime = ({ kind, afterMs, stream }: LoadOutcome) =>
    kind === "served" && afterMs <= stream.targetMs!;
  const share = (list: readonly LoadOutcome[]) =>
    list.filter(isOnTime).length / Math.max(1, list.length);
  const ofPriority = (priority: number) =>
    share(outcomes.filter(({ stream }) => stream.priority === priority));
  const isGreedy = ({ stream }: LoadOutcome) =>
    stream.workspace === `w${GREEDY}`;
  return {
    outcomes,
    all: share(outcomes),
    higher: ofPriority(0),
    lower: ofPriority(2),
    greedy: share(outcomes.filter(isGreedy)),
    others: share(outcomes.filter((outcome) => !isGreedy(outcome))),
  };
}

/** Total that may be lost: priorities and workspaces are served whatever their sizes. */
const LOST_SHARE = 0.03;
/** Required of each priority, as a share of the fraction of all streams. */
const STARVED_SHARE = 0.25;

const LOADS: [string, Load][] = [
  ["the lower priority at 2.5 times its rate", {
    lowerBurst: 2.5,
    greedyBurst: 1,
  }],
  ["one workspace at 7.5 times its rate", { lowerBurst: 1, greedyBurst: 7.5 }],
  ["both at once, with crashes of a quarter of the engines", {
    lowerBurst: 2.5,
    greedyBurst: 7.5,
    crashes: true,
  }],
];

test.each(LOADS)(
  "The rare streams of high priority are on time, and the others lose little: %s",
  async (_name, load) => {
    const before = await play(load, { tellsPriorities: false });
    const after = await play(load);
    expect(after.higher).toBeGreaterThanOrEqual(before.higher);
    expect(after.higher).toBeGreaterThan(load.crashes ? 0.9 : 0.97);
    expect(after.lower).toBeGreaterThan(STARVED_SHARE * after.all);
    expect(after.all).toBeGreaterThan(before.all - LOST_SHARE);
    if (load.lowerBurst > 1) return;
    // Only the workspace that asks for more than usual loses.
    expect(after.others).toBeGreaterThan(before.others);
    expect(after.greedy).toBeLessThan(before.greedy - 0.04);
  },
);

test.each(LOADS)(
  "The frequent streams of high priority come before the rare ones, which aren't starved: %s",
  async (_name, load) => {
    const swapped = { ...load, swapped: true };
    const before = await play(swapped, { tellsPriorities: false });
    const after = await play(swapped);
    expect(after.higher).toBeGreaterThan(Math.min(0.98, before.higher + 0.02));
    expect(after.lower).toBeGreaterThan(STARVED_SHARE * after.all);
    expect(after.all).toBeGreaterThan(before.all - LOST_SHARE);
  },
);

test("With one priority and one workspace, each stream is answered as without them", async () => {
  const load = { lowerBurst: 1, greedyBurst: 7.5, isUniform: true };
  const before = await play(load, { tellsPriorities: false });
  const after = await play(load);
  expect(after.outcomes).toEqual(before.outcomes);
});
