/** Computes the figures of a run. */
import { build } from "hdr-histogram-js";
import { computeCeiling } from "./ceiling.ts";
import {
  BETWEEN_TOKENS_TARGET_MS,
  FIRST_TOKEN_TARGET_MS,
} from "./deployments.ts";
import type { FaultName } from "./faults.ts";
import { isUnattainable } from "./load.ts";
import type { Outcome } from "./outcome.ts";
import type { PolicyName } from "./policies.ts";
import type { RunResult } from "./run.ts";
import type { WorkItem } from "./workload.ts";

/** Figures of one run; its fields are the keys of the `--json` output. */
export interface ExperimentRecord {
  readonly policy: PolicyName;
  readonly load: number;
  readonly faults: FaultName;
  readonly seed: number;
  /** Requests that arrived in the measured interval. */
  readonly offered: number;
  /** Share of requests that met both targets; excludes unattainable and abandoned ones. */
  readonly goodput: number;
  /** The same share for the offline planner of {@link computeCeiling}. */
  readonly ceiling: number;
  /** Requests that would miss the first-token target even on an idle deployment. */
  readonly unattainable: number;
  /** Share of prefill time spent on attempts of which no token reached the caller. */
  readonly wastedPrefillShare: number;
  /** The same for the last attempts of callers that gave up; not part of the wasted share. */
  readonly cancelledPrefillShare: number;
  readonly firstTokenP50Ms: number;
  readonly firstTokenP95Ms: number;
  readonly firstTokenP99Ms: number;
  readonly betweenTokensP95Ms: number;
  readonly refused: number;
  readonly refusedByReason: Readonly<Record<string, number>>;
}

/** Histograms record tenths of a millisecond. */
const TICKS_PER_MS = 10;

/** Computes the record of a run. */
export function createRecord(result: RunResult): ExperimentRecord {
  const { policy, load, faults, seed } = result.options;
  const offered = measuredOutcomes(result);
  const counted = offered.filter((outcome) =>
    countsForGoodput(outcome, result)
  );
  const good = counted.filter((outcome) => meetsTargets(outcome, result));
  const waste = measureWastedPrefill(offered, result.prefillMs);
  const firstTokens = firstTokenHistogram(offered, result);
  const refused = countRefusals(offered);
  return {
    policy,
    load,
    faults,
    seed,
    offered: offered.length,
    goodput: share(good.length, counted.length),
    ceiling: share(ceilingCount(result), counted.length),
    unattainable:
      offered.filter((outcome) => cannotMeetTarget(outcome.item, result))
        .length,
    ...waste,
    firstTokenP50Ms: firstTokens.getValueAtPercentile(50) / TICKS_PER_MS,
    firstTokenP95Ms: firstTokens.getValueAtPercentile(95) / TICKS_PER_MS,
    firstTokenP99Ms: firstTokens.getValueAtPercentile(99) / TICKS_PER_MS,
    betweenTokensP95Ms: gapPercentileMs(offered, 95),
    refused: Object.values(refused).reduce((sum, count) => sum + count, 0),
    refusedByReason: refused,
  };
}

/** Returns the outcomes of the requests that arrived in the measured interval. */
export function measuredOutcomes(result: RunResult): Outcome[] {
  const { measuredFromMs, measuredToMs } = result;
  return result.outcomes.filter(({ item }) =>
    item.arrivesAtMs >= measuredFromMs && item.arrivesAtMs < measuredToMs
  );
}

/** Whether a request counts for goodput: it was attainable and its caller did not give up. */
export function countsForGoodput(outcome: Outcome, result: RunResult): boolean {
  return !outcome.gaveUp && !cannotMeetTarget(outcome.item, result);
}

/** Whether a request met both targets and was neither lost nor refused; it may be unfinished. */
export function meetsTargets(outcome: Outcome, result: RunResult): boolean {
  const firstTokenMs = outcome.firstTokenMs(result.originMs);
  const failed = outcome.lost || outcome.refusalReason !== undefined;
  return !failed && firstTokenMs !== undefined &&
    firstTokenMs <= FIRST_TOKEN_TARGET_MS &&
    outcome.meanGapMs(result.endedAtMs) <= BETWEEN_TOKENS_TARGET_MS;
}

/** Builds a histogram of the times to the first token, in tenths of a millisecond. */
export function firstTokenHistogram(
  outcomes: readonly Outcome[],
  result: RunResult,
) {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const outcome of outcomes) {
    const ms = outcome.firstTokenMs(result.originMs);
    if (ms !== undefined) histogram.recordValue(Math.round(ms * TICKS_PER_MS));
  }
  return histogram;
}

function cannotMeetTarget(item: WorkItem, result: RunResult): boolean {
  return isUnattainable(item, result.options.deployment.profile);
}

function ceilingCount(result: RunResult): number {
  const { outcomes, options, measuredFromMs, measuredToMs } = result;
  const gaveUp = new Set(
    outcomes.filter((outcome) => outcome.gaveUp).map((outcome) =>
      outcome.item.id
    ),
  );
  const isEligible = (item: WorkItem) =>
    !gaveUp.has(item.id) && !cannotMeetTarget(item, result);
  return computeCeiling(outcomes.map((outcome) => outcome.item), {
    deployment: options.deployment,
    isEligible,
    isMeasured: (item) =>
      item.arrivesAtMs >= measuredFromMs && item.arrivesAtMs < measuredToMs,
  });
}

function measureWastedPrefill(
  outcomes: readonly Outcome[],
  prefillMs: ReadonlyMap<string, number>,
): { wastedPrefillShare: number; cancelledPrefillShare: number } {
  let total = 0;
  let wasted = 0;
  let cancelled = 0;
  for (const outcome of outcomes) {
    for (const stream of outcome.streams) {
      const spentMs = prefillMs.get(stream) ?? 0;
      total += spentMs;
      if (outcome.decodedStreams.has(stream)) continue;
      const isLast = stream === outcome.streams.at(-1);
      if (outcome.gaveUp && isLast) cancelled += spentMs;
      else wasted += spentMs;
    }
  }
  return {
    wastedPrefillShare: share(wasted, total),
    cancelledPrefillShare: share(cancelled, total),
  };
}

function gapPercentileMs(
  outcomes: readonly Outcome[],
  percentile: number,
): number {
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const outcome of outcomes) {
    for (const [ticks, count] of outcome.gapCounts) {
      histogram.recordValueWithCount(ticks, count);
    }
  }
  return histogram.getValueAtPercentile(percentile) / TICKS_PER_MS;
}

function countRefusals(outcomes: readonly Outcome[]): Record<string, number> {
  const counts: Record<string, number> = {};
  for (const { refusalReason: reason } of outcomes) {
    if (reason) counts[reason] = (counts[reason] ?? 0) + 1;
  }
  return counts;
}

function share(part: number, whole: number): number {
  return whole === 0 ? 0 : part / whole;
}
