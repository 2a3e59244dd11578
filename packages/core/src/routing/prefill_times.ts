/** Estimates how long the prefill of a prompt takes, from recent prefills. */
import type { ServiceName } from "../common/ids.ts";

/** Prefill speed assumed before the first measurement. */
const INITIAL_TOKENS_PER_MS = 30;
/** Weight of the newest prefill in the moving average of the delay. */
const DELAY_WEIGHT = 0.15;
/**
 * Half-life of the delay, and of a speed below the assumed one, while no prefill is
 * measured. Without it, a VM that refuses all streams because of a high estimate would
 * never measure a lower one.
 */
const HALF_LIFE_MS = 2_000;
/** Time without a measurement for which a slow speed is kept as it is. */
const SPEED_KEPT_MS = 1_000;
/** Time without a measurement after which earlier slow prefills don't count any more. */
const FORGET_SLOW_MS = 2 * HALF_LIFE_MS;
/** Recent prefills from which the speed is taken, and how many are needed. */
const SPEED_SAMPLES = 24;
const MIN_SPEED_SAMPLES = 4;
/** The slower of them include queueing, and the fastest found their prompts in the cache. */
const SPEED_QUANTILE = 0.75;
/** The time of shorter prompts depends more on the connection than on the speed. */
const MIN_SPEED_SAMPLE_TOKENS = 500;

interface Estimate {
  tokensPerMs: number;
  /** Speeds of the last prefills, oldest first. */
  readonly speeds: number[];
  /** Time on top of the computation, as of the last measurement: queues, connections. */
  delayMs: number;
  measuredAtMs: number;
}

/** Keeps the estimates of prefill speed and delay for each service. */
export class PrefillTimes {
  #estimates = new Map<ServiceName, Estimate>();

  /**
   * Records a prefill. One that was not `completed` took at least `tookMs`; it says
   * nothing about the speed.
   */
  note(
    service: ServiceName,
    prefill: { tokens: number; tookMs: number; completed: boolean },
  ): void {
    const { tokens, tookMs, completed } = prefill;
    const estimate = this.#estimateOf(service);
    forgetSlow(estimate);
    if (completed && tokens >= MIN_SPEED_SAMPLE_TOKENS && tookMs > 0) {
      noteSpeed(estimate, tokens / tookMs);
    }
    const delayMs = Math.max(0, tookMs - tokens / estimate.tokensPerMs);
    const recentDelayMs = currentDelayMs(estimate);
    estimate.delayMs = recentDelayMs +
      DELAY_WEIGHT * (delayMs - recentDelayMs);
    estimate.measuredAtMs = performance.now();
  }

  /** Estimated duration of a prefill, including the current queueing delay. */
  expectedMs(service: ServiceName, tokens: number): number {
    const estimate = this.#estimateOf(service);
    return tokens / currentSpeed(estimate) + currentDelayMs(estimate);
  }

  /** Estimated prefill speed of one endpoint of the service. */
  tokensPerMs(service: ServiceName): number {
    return currentSpeed(this.#estimateOf(service));
  }

  #estimateOf(service: ServiceName): Estimate {
    const existing = this.#estimates.get(service);
    if (existing) return existing;
    const initial = {
      tokensPerMs: INITIAL_TOKENS_PER_MS,
      speeds: [],
      delayMs: 0,
      measuredAtMs: performance.now(),
    };
    this.#estimates.set(service, initial);
    return initial;
  }
}

function currentDelayMs({ delayMs, measuredAtMs }: Estimate): number {
  return delayMs * remainder(performance.now() - measuredAtMs);
}

function currentSpeed({ tokensPerMs, measuredAtMs }: Estimate): number {
  const missing = Math.max(0, INITIAL_TOKENS_PER_MS - tokensPerMs);
  const ageMs = performance.now() - measuredAtMs;
  return tokensPerMs + missing * (1 - remainder(ageMs - SPEED_KEPT_MS));
}

// The part of a value that is left after a time without a measurement.
function remainder(ageMs: number): number {
  return 2 ** (-Math.max(0, ageMs) / HALF_LIFE_MS);
}

function forgetSlow(estimate: Estimate): void {
  const isFast = estimate.tokensPerMs >= INITIAL_TOKENS_PER_MS;
  const ageMs = performance.now() - estimate.measuredAtMs;
  if (isFast || ageMs < FORGET_SLOW_MS) return;
  estimate.speeds.length = 0;
  estimate.tokensPerMs = INITIAL_TOKENS_PER_MS;
}

function noteSpeed(estimate: Estimate, speed: number): void {
  const { speeds } = estimate;
  speeds.push(speed);
  if (speeds.length > SPEED_SAMPLES) speeds.shift();
  if (speeds.length < MIN_SPEED_SAMPLES) return;
  const sorted = [...speeds].sort((a, b) => a - b);
  const index = Math.floor(SPEED_QUANTILE * (sorted.length - 1));
  estimate.tokensPerMs = sorted[index]!;
}
