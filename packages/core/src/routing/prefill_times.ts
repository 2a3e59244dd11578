/** Estimates how long the prefill of a prompt takes, from those that ended lately. */
import type { ServiceName } from "../common/ids.ts";

/** Reading speed before anything was measured. */
const INITIAL_TOKENS_PER_MS = 30;
/** Weight of the newest prefill in the average delay. */
const DELAY_WEIGHT = 0.15;
/** The speed follows faster prefills sooner than slower ones, which queued. */
const FASTER_WEIGHT = 0.1;
const SLOWER_WEIGHT = 0.02;
/** A prefill faster than this many times the speed found its prompt in the cache. */
const CACHED_RATIO = 1.3;
/** Shorter prompts say more of the connection than of the speed. */
const MIN_SPEED_SAMPLE_TOKENS = 500;

interface Estimate {
  tokensPerMs: number;
  /** Time beyond the reading itself: queues, connections. */
  delayMs: number;
}

/** Owns the estimates of the services. */
export class PrefillTimes {
  #estimates = new Map<ServiceName, Estimate>();

  /** Notes a prefill that ended well. */
  note(
    service: ServiceName,
    prefill: { tokens: number; tookMs: number },
  ): void {
    const { tokens, tookMs } = prefill;
    const estimate = this.#estimateOf(service);
    if (tokens >= MIN_SPEED_SAMPLE_TOKENS && tookMs > 0) {
      const known = estimate.tokensPerMs;
      const speed = Math.min(tokens / tookMs, CACHED_RATIO * known);
      const weight = speed > known ? FASTER_WEIGHT : SLOWER_WEIGHT;
      estimate.tokensPerMs += weight * (speed - known);
    }
    const delayMs = Math.max(0, tookMs - tokens / estimate.tokensPerMs);
    estimate.delayMs += DELAY_WEIGHT * (delayMs - estimate.delayMs);
  }

  /** Time that a prompt takes with the queues of the moment. */
  expectedMs(service: ServiceName, tokens: number): number {
    const { tokensPerMs, delayMs } = this.#estimateOf(service);
    return tokens / tokensPerMs + delayMs;
  }

  /** Tokens that an endpoint reads in a millisecond. */
  tokensPerMs(service: ServiceName): number {
    return this.#estimateOf(service).tokensPerMs;
  }

  #estimateOf(service: ServiceName): Estimate {
    const known = this.#estimates.get(service);
    if (known) return known;
    const initial = { tokensPerMs: INITIAL_TOKENS_PER_MS, delayMs: 0 };
    this.#estimates.set(service, initial);
    return initial;
  }
}
