/** Tracks which replicas recently refused a connection. */
import type { EndpointId } from "../common/ids.ts";

const AVOID_MS = 2_000;

/** Holds the replicas that recently refused a connection. */
export class UnreachableEndpoints {
  #untilMs = new Map<EndpointId, number>();

  /** Records a refused connection. */
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
