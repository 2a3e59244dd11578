/** Remembers which replicas lately refused a connection. */
import type { EndpointId } from "../common/ids.ts";

const AVOID_MS = 2_000;

/** Owns the memory of refused connections. */
export class RefusedEndpoints {
  #untilMs = new Map<EndpointId, number>();

  /** Notes a refused connection. */
  add(endpoint: EndpointId): void {
    this.#untilMs.set(endpoint, performance.now() + AVOID_MS);
  }

  /** Replicas to try last for now. */
  current(): ReadonlySet<EndpointId> {
    for (const [endpoint, untilMs] of this.#untilMs) {
      if (untilMs <= performance.now()) this.#untilMs.delete(endpoint);
    }
    return new Set(this.#untilMs.keys());
  }
}
