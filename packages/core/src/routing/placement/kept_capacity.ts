/**
 * How many streams capacity is kept for that have not arrived yet.
 *
 * Handles a load of lower-priority streams that takes each place as it becomes free: a
 * stream of higher priority would then always wait for one of them to finish.
 */
import { type StreamLoad, survivalOf } from "./memory_forecast.ts";

/** Streams of one priority that are expected to arrive. */
export interface ExpectedArrivals {
  readonly ratePerMs: number;
  /** Average load of these streams. */
  readonly typical: StreamLoad;
}

/** Probability with which the kept capacity suffices for the streams that arrive. */
const KEPT_QUANTILE = 0.9;
/** Bounds the cost of placing a stream; a shard has at most 16 engines. */
const MAX_KEPT = 16;
/** Time over which the rate of ending streams is taken from the forecast. */
const RATE_SAMPLE_MS = 50;

/**
 * Returns the streams for which a stream has to leave capacity: those that will arrive
 * before more becomes free. A late stream isn't worth as much as another one that could
 * run in its place, so that it also leaves what a growing load will need while it runs.
 */
export function findStreamsToKeep(
  arrivals: readonly ExpectedArrivals[],
  { loads, stream, tokensPerMs, isLate = false }: {
    loads: ReadonlyMap<unknown, readonly StreamLoad[]>;
    stream: StreamLoad;
    /** Tokens that a stream generates per millisecond. */
    tokensPerMs: number;
    isLate?: boolean;
  },
): StreamLoad[] {
  if (arrivals.length === 0) return [];
  const endingPerMs = endingsPerMs(loads.values(), tokensPerMs);
  // Nothing runs that could end, so that nothing is scarce either.
  if (endingPerMs === 0) return [];
  const arrivingPerMs = arrivals.reduce(
    (sum, { ratePerMs }) => sum + ratePerMs,
    0,
  );
  const growth = isLate ? Math.max(0, 1 - endingPerMs / arrivingPerMs) : 0;
  const durationMs = stream.expectedTokens / tokensPerMs;
  const windowMs = 1 / endingPerMs + growth * durationMs;
  return arrivals.flatMap(({ ratePerMs, typical }) =>
    Array.from({ length: keptCount(ratePerMs * windowMs) }, () => typical)
  );
}

// Streams a millisecond that are expected to end at the engines.
function endingsPerMs(
  loads: Iterable<readonly StreamLoad[]>,
  tokensPerMs: number,
): number {
  let endings = 0;
  for (const streams of loads) {
    for (const stream of streams) {
      endings += 1 - survivalOf(stream)(RATE_SAMPLE_MS * tokensPerMs);
    }
  }
  return endings / RATE_SAMPLE_MS;
}

// As many streams as arrive in nine of ten cases, if arrivals are independent.
function keptCount(mean: number): number {
  let probability = Math.exp(-mean);
  let sum = probability;
  let count = 0;
  while (sum < KEPT_QUANTILE && count < MAX_KEPT) {
    count += 1;
    probability *= mean / count;
    sum += probability;
  }
  return count;
}
