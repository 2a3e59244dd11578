/** Decides what a VM that is stopping still sends to endpoints. */
import { type NotRun, notRun } from "../common/verdict.ts";
import type { Route, RouteName } from "./types.ts";

/** Another VM can take a refused request at once. */
const RETRY_MS = 50;
/** Time for an answer to be passed on before the requests in progress are cut off. */
const ANSWER_MS = 100;
/** Time for which a route's longest request is remembered, at least. */
const REMEMBERED_MS = 30_000;

/** Options of {@link StopGate.begin}. */
export interface StopOptions {
  /** How long callers may still arrive because they cached this VM's address. */
  servingMs: number;
  /** Time after which requests in progress are cut off. */
  cutMs: number;
}

/**
 * A request that is sure to end before the cut is always taken: its own time limit
 * ends before. While callers may still arrive, so is one that is likely to, by the
 * longest recent request of its route, and a stream that another VM can continue.
 */
export class StopGate {
  #cutAtMs = Infinity;
  #servesUntilMs = Infinity;
  #durations = new RecentDurations();

  /** Begins the stop; a further call has no effect. */
  begin({ servingMs, cutMs }: StopOptions): void {
    if (this.#cutAtMs !== Infinity) return;
    const nowMs = performance.now();
    this.#servesUntilMs = nowMs + servingMs;
    this.#cutAtMs = nowMs + cutMs;
  }

  /** Records how long an endpoint took for a request. */
  noteDuration(route: Route, tookMs: number): void {
    this.#durations.note(route.name, tookMs);
  }

  /** Returns the refusal of a request that may last for `leftMs`, or null. */
  refusalOf(route: Route, leftMs: number): NotRun | null {
    const nowMs = performance.now();
    const untilCutMs = this.#cutAtMs - ANSWER_MS - nowMs;
    if (leftMs <= untilCutMs) return null;
    const isLikelyToEnd = route.kind === "stream" && route.resumable ||
      this.#durations.longestMs(route.name) <= untilCutMs;
    return isLikelyToEnd && nowMs < this.#servesUntilMs
      ? null
      : notRun("stopping", { retryAfterMs: RETRY_MS });
  }
}

/** Remembers the longest duration by route, for one or two times {@link REMEMBERED_MS}. */
class RecentDurations {
  #current = new Map<RouteName, number>();
  #previous = new Map<RouteName, number>();
  #currentSinceMs = performance.now();

  note(route: RouteName, tookMs: number): void {
    this.#forgetOld();
    const longestMs = this.#current.get(route) ?? 0;
    this.#current.set(route, Math.max(longestMs, tookMs));
  }

  longestMs(route: RouteName): number {
    return Math.max(
      this.#current.get(route) ?? 0,
      this.#previous.get(route) ?? 0,
    );
  }

  #forgetOld(): void {
    const nowMs = performance.now();
    if (nowMs < this.#currentSinceMs + REMEMBERED_MS) return;
    this.#previous = this.#current;
    this.#current = new Map();
    this.#currentSinceMs = nowMs;
  }
}
