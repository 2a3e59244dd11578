/** How soon goodput is back after a fault. */
import { countsForGoodput, meetsTargets } from "./measure.ts";
import type { RunResult } from "./run.ts";

const BUCKET_MS = 500;
const SHOWN_MS = 12_000;
/** Goodput is back once it is at least this share of what is usual before and well after the fault. */
const BACK_SHARE = 0.9;
const SMOOTHED_BUCKETS = 2;
const SETTLED_MS = 6_000;

/** Time from the fault until goodput by arrival is back, over the runs of one policy and load. */
export interface Recovery {
  readonly policy: string;
  readonly load: number;
  readonly baselineShare: number;
  readonly bucketShares: readonly number[];
  readonly recoveredAfterMs: number | undefined;
}

/** Formats the recovery of each policy and load. */
export function formatRecovery(results: readonly RunResult[]): string {
  const groups = new Map<string, RunResult[]>();
  for (const result of results) {
    const { policy, load } = result.options;
    const key = `${policy} ${load}`;
    groups.set(key, [...groups.get(key) ?? [], result]);
  }
  return [...groups.values()].map((group) => format(computeRecovery(group)))
    .join("\n");
}

/** Sums up the runs of one policy and load. */
export function computeRecovery(results: readonly RunResult[]): Recovery {
  const { policy, load } = results[0]!.options;
  const before = goodShare(results, {
    fromMs: (result) => result.measuredFromMs,
    toMs: (result) => result.faultAtMs - 500,
  });
  // Requests that the fault cut arrived before it, so the time after it may tell more.
  const after = goodShare(results, {
    fromMs: (result) => result.faultAtMs + SETTLED_MS,
    toMs: (result) => result.measuredToMs,
  });
  const usual = Math.max(before, after);
  const buckets: number[] = [];
  for (let atMs = 0; atMs < SHOWN_MS; atMs += BUCKET_MS) {
    buckets.push(goodShare(results, {
      fromMs: (result) => result.faultAtMs + atMs,
      toMs: (result) => result.faultAtMs + atMs + BUCKET_MS,
    }));
  }
  const back = buckets.findIndex((_, at) => {
    const near = buckets.slice(at, at + SMOOTHED_BUCKETS);
    const mean = near.reduce((sum, one) => sum + one, 0) / near.length;
    return mean >= BACK_SHARE * usual;
  });
  return {
    policy,
    load,
    baselineShare: usual,
    bucketShares: buckets,
    recoveredAfterMs: back === -1 ? undefined : back * BUCKET_MS,
  };
}

function goodShare(
  results: readonly RunResult[],
  span: {
    fromMs: (result: RunResult) => number;
    toMs: (result: RunResult) => number;
  },
): number {
  let good = 0;
  let judged = 0;
  for (const result of results) {
    const from = span.fromMs(result);
    const to = span.toMs(result);
    for (const outcome of result.outcomes) {
      const { arrivesAtMs } = outcome.item;
      if (arrivesAtMs < from || arrivesAtMs >= to) continue;
      if (!countsForGoodput(outcome, result)) continue;
      judged += 1;
      if (meetsTargets(outcome, result)) good += 1;
    }
  }
  return judged === 0 ? 1 : good / judged;
}

function format(recovery: Recovery): string {
  const {
    policy,
    load,
    baselineShare: usualShare,
    bucketShares: buckets,
    recoveredAfterMs: backAfterMs,
  } = recovery;
  const series = buckets.map((one) => one.toFixed(2)).join(" ");
  const back = backAfterMs === undefined ? "not back" : `${backAfterMs} ms`;
  return `${policy} load ${load}: usually ${usualShare.toFixed(3)}, ` +
    `back after ${back}; each ${BUCKET_MS} ms: ${series}`;
}
