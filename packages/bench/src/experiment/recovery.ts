/** How fast goodput recovers after a fault. */
import { countsForGoodput, meetsTargets } from "./measure.ts";
import type { RunResult } from "./run.ts";

const BUCKET_MS = 500;
const REPORTED_MS = 12_000;
/** Goodput has recovered when it reaches this fraction of the baseline. */
const RECOVERED_FRACTION = 0.9;
const SMOOTHING_BUCKETS = 2;
const SETTLE_MS = 6_000;

/** Recovery of goodput, by arrival time of the requests, over the runs of one policy and load. */
export interface Recovery {
  readonly policy: string;
  readonly load: number;
  /** The larger of the shares before the fault and well after it. */
  readonly baselineShare: number;
  /** Share of each bucket of `BUCKET_MS` from the fault on. */
  readonly bucketShares: readonly number[];
  /** Undefined if goodput does not recover within `REPORTED_MS`. */
  readonly recoveredAfterMs: number | undefined;
}

/** Formats the recovery of each policy and load, one per line. */
export function formatRecovery(results: readonly RunResult[]): string {
  const groups = new Map<string, RunResult[]>();
  for (const result of results) {
    const { policy, load } = result.options;
    const key = `${policy} ${load}`;
    groups.set(key, [...groups.get(key) ?? [], result]);
  }
  return [...groups.values()].map((group) => formatLine(computeRecovery(group)))
    .join("\n");
}

/** Computes the recovery over the runs of one policy and load. */
export function computeRecovery(results: readonly RunResult[]): Recovery {
  const { policy, load } = results[0]!.options;
  const before = goodShare(results, {
    fromMs: (result) => result.measuredFromMs,
    toMs: (result) => result.faultAtMs - 500,
  });
  // Requests that the fault interrupted arrived before it, so the share after it may be higher.
  const after = goodShare(results, {
    fromMs: (result) => result.faultAtMs + SETTLE_MS,
    toMs: (result) => result.measuredToMs,
  });
  const baseline = Math.max(before, after);
  const buckets: number[] = [];
  for (let atMs = 0; atMs < REPORTED_MS; atMs += BUCKET_MS) {
    buckets.push(goodShare(results, {
      fromMs: (result) => result.faultAtMs + atMs,
      toMs: (result) => result.faultAtMs + atMs + BUCKET_MS,
    }));
  }
  const recoveredIndex = buckets.findIndex((_, index) => {
    const smoothed = buckets.slice(index, index + SMOOTHING_BUCKETS);
    const mean = smoothed.reduce((sum, share) => sum + share, 0) /
      smoothed.length;
    return mean >= RECOVERED_FRACTION * baseline;
  });
  return {
    policy,
    load,
    baselineShare: baseline,
    bucketShares: buckets,
    recoveredAfterMs: recoveredIndex === -1
      ? undefined
      : recoveredIndex * BUCKET_MS,
  };
}

function goodShare(
  results: readonly RunResult[],
  interval: {
    fromMs: (result: RunResult) => number;
    toMs: (result: RunResult) => number;
  },
): number {
  let good = 0;
  let counted = 0;
  for (const result of results) {
    const from = interval.fromMs(result);
    const to = interval.toMs(result);
    for (const outcome of result.outcomes) {
      const { arrivesAtMs } = outcome.item;
      if (arrivesAtMs < from || arrivesAtMs >= to) continue;
      if (!countsForGoodput(outcome, result)) continue;
      counted += 1;
      if (meetsTargets(outcome, result)) good += 1;
    }
  }
  return counted === 0 ? 1 : good / counted;
}

function formatLine(recovery: Recovery): string {
  const {
    policy,
    load,
    baselineShare,
    bucketShares: buckets,
    recoveredAfterMs,
  } = recovery;
  const series = buckets.map((share) => share.toFixed(2)).join(" ");
  const recovered = recoveredAfterMs === undefined
    ? "not recovered"
    : `recovered after ${recoveredAfterMs} ms`;
  return `${policy} load ${load}: baseline ${baselineShare.toFixed(3)}, ` +
    `${recovered}; per ${BUCKET_MS} ms: ${series}`;
}
