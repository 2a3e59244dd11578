/** How much time a request has left, by the caller's patience and the route's limit. */
import type { Route, RoutedRequest } from "./types.ts";

/** Measures from the first byte of the request on the monotonic clock. */
export class RequestClock {
  readonly startedAtMs: number;
  readonly #endsAtMs: number;
  readonly #callerTimeoutAtMs: number;
  readonly #targetAtMs: number;

  constructor(request: RoutedRequest, route: Route) {
    this.startedAtMs = request.receivedAtMs;
    this.#callerTimeoutAtMs = request.receivedAtMs +
      (request.callerTimeoutMs ?? route.timeoutMs);
    this.#endsAtMs = Math.min(
      this.#callerTimeoutAtMs,
      request.receivedAtMs + route.timeoutMs,
    );
    this.#targetAtMs = request.receivedAtMs + route.targetLatencyMs;
  }

  /** Time since the request came. */
  elapsedMs(): number {
    return performance.now() - this.startedAtMs;
  }

  /** Time until the request is given up. */
  leftMs(): number {
    return this.#endsAtMs - performance.now();
  }

  /** Time that the caller still waits; what endpoints are told. */
  callerTimeLeftMs(): number {
    return this.#callerTimeoutAtMs - performance.now();
  }

  /** Time until an answer is late; negative once it is. */
  targetLeftMs(): number {
    return this.#targetAtMs - performance.now();
  }
}
