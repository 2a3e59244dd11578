/** Estimates how long callers waited before the attempt at hand. */
import type { Route, RouteName, RoutedRequest } from "./types.ts";

/** Differences below this are rounding, not an earlier attempt. */
const MIN_WAIT_MS = 20;

/**
 * Callers of a route begin with the same patience, and name what is left of it
 * when they come back after a refusal. What is missing from the longest one seen
 * is therefore the time since their first attempt.
 */
export class EarlierWaits {
  #longestMs = new Map<RouteName, number>();

  /** Notes a request and tells how long its caller waited before. */
  note(route: Route, request: RoutedRequest): number {
    const { patienceMs } = request;
    if (patienceMs === null) return 0;
    const longestMs = Math.max(
      patienceMs,
      this.#longestMs.get(route.name) ?? 0,
    );
    this.#longestMs.set(route.name, longestMs);
    const waitedMs = longestMs - patienceMs;
    return waitedMs < MIN_WAIT_MS ? 0 : waitedMs;
  }

  /** Forgets routes that are no longer in the table. */
  keepOnly(routes: readonly Route[]): void {
    const names = new Set(routes.map(({ name }) => name));
    for (const name of this.#longestMs.keys()) {
      if (!names.has(name)) this.#longestMs.delete(name);
    }
  }
}
