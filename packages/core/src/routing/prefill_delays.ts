/**
 * Time that prefills of each urgency wait at their engines.
 *
 * Handles a load in which prompts of lower priority queue at the prefill engines, which
 * serve urgent ones first: a delay that is averaged over all prompts would have streams
 * of high priority refused for a queue that they don't wait in.
 */
import type { ServiceName } from "../common/ids.ts";

/** Weight of the newest prefill in the average delay. */
const DELAY_WEIGHT = 0.15;
/** Half-life of a delay while nothing is measured, so that streams are sent again. */
const HALF_LIFE_MS = 2_000;

/** What the urgency of a prefill is known for. */
export interface PrefillClass {
  readonly service: ServiceName;
  readonly urgency: number;
}

/** Keeps the average delays by service and urgency. */
export class PrefillDelays {
  #delays = new Map<string, { delayMs: number; atMs: number }>();

  /** Records the time that a prefill took beyond its computation. */
  note(prefillClass: PrefillClass, delayMs: number): void {
    const recentMs = this.currentMs(prefillClass);
    this.#delays.set(keyOf(prefillClass), {
      delayMs: recentMs + DELAY_WEIGHT * (Math.max(0, delayMs) - recentMs),
      atMs: performance.now(),
    });
  }

  /** Returns the expected delay in milliseconds; 0 if none was measured. */
  currentMs(prefillClass: PrefillClass): number {
    const known = this.#delays.get(keyOf(prefillClass));
    if (!known) return 0;
    const ageMs = performance.now() - known.atMs;
    return known.delayMs * 2 ** (-ageMs / HALF_LIFE_MS);
  }
}

function keyOf({ service, urgency }: PrefillClass): string {
  return `${service} ${urgency}`;
}
