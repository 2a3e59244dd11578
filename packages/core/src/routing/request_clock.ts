/** Time that a request has left, by the caller's timeout and the route's limits. */
import type { Route, RoutedRequest } from "./types.ts";

/** Deadlines of one request, counted from its `receivedAtMs` on the monotonic clock. */
export class RequestClock {
  readonly startedAtMs: number;
  /** Longest permitted gap between the events of a stream; null if there is none. */
  readonly maxEventGapMs: number | null;
  readonly #endsAtMs: number;
  readonly #callerTimeoutAtMs: number;
  readonly #targetAtMs: number;

  constructor(request: RoutedRequest, route: Route) {
    this.startedAtMs = request.receivedAtMs;
    this.maxEventGapMs = route.maxEventGapMs;
    this.#callerTimeoutAtMs = request.receivedAtMs +
      (request.callerTimeoutMs ?? route.timeoutMs);
    this.#endsAtMs = Math.min(
      this.#callerTimeoutAtMs,
      request.receivedAtMs + route.timeoutMs,
    );
    this.#targetAtMs = request.receivedAtMs + route.targetLatencyMs;
  }

  /** Time from its arrival until the request times out. */
  get wholeMs(): number {
    return this.#endsAtMs - this.startedAtMs;
  }

  /** Time since the request was received. */
  elapsedMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Time until the request times out, by the caller's or the route's limit. */
  leftMs(): number {
    return this.#endsAtMs - performance.now();
  }

  /** Time until the caller stops waiting; this is the deadline that endpoints are given. */
  callerTimeLeftMs(): number {
    return this.#callerTimeoutAtMs - performance.now();
  }

  /** Time until the latency target; negative once it has passed. */
  targetLeftMs(): number {
    return this.#targetAtMs - performance.now();
  }
}
