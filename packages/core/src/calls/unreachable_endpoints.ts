/** Tracks which replicas could not be connected to recently. */
import type { EndpointId } from "../common/ids.ts";

const AVOID_MS = 2_000;

/** Holds each replica for a while after a failed connect, so that others are tried first. */
export class UnreachableEndpoints {
  #untilMs = new Map<EndpointId, number>();

  /** Records a failed connect. */
  add(endpoint: EndpointId): void {
    this.#untilMs.set(endpoint, performance.now() + AVOID_MS);
  }

  /** Replicas that should be tried last. */
  avoided(): ReadonlySet<EndpointId> {
    for (const [endpoint, untilMs] of this.#untilMs) {
      if (untilMs <= performance.now()) this.#untilMs.delete(endpoint);
    }
    return new Set(this.#untilMs.keys());
  }
}
