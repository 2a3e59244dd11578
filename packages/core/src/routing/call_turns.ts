/** When one call has to wait for its turn, because the endpoints of its service are full. */
import type { ServiceName } from "../common/ids.ts";
import type { CallQueue } from "./call_queue.ts";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { SendFailure } from "./port.ts";
import type { RequestClock } from "./request_clock.ts";

/** Largest share of its time for which a call waits: its caller may still try another VM. */
const MAX_WAIT_SHARE = 0.5;

/** Options of {@link CallTurns}. */
export interface CallTurnsOptions {
  readonly service: ServiceName;
  readonly clock: RequestClock;
  readonly priority: number;
  /** Aborted when the caller disconnects. */
  readonly signal: AbortSignal;
}

/** Waits for the turns of one call. */
export class CallTurns {
  #context: RoutingContext;
  #options: CallTurnsOptions;

  constructor(context: RoutingContext, options: CallTurnsOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Whether the call has to wait before it is sent: other calls wait already, or all
   * endpoints have refused calls for lack of capacity.
   */
  mustWait(): boolean {
    const nowMs = performance.now();
    const { service } = this.#options;
    const { endpoints, forwarding } = this.#context;
    if (forwarding.isLost(service)) return false;
    const healthy = endpoints.usable(service, null)
      .filter((record) => record.isHealthy(nowMs));
    // Limits and pauses have refusals of their own.
    if (healthy.every((record) => record.isLimited(nowMs))) return false;
    return this.#queue.length > 0 ||
      healthy.every((record) => record.isFull(nowMs));
  }

  /** Resolves with whether the call has its turn in time. */
  async wait(): Promise<boolean> {
    const { clock, priority, signal } = this.#options;
    const latestMs = clock.startedAtMs + MAX_WAIT_SHARE * clock.wholeMs;
    const hasTurn = await this.#queue.wait({ priority, latestMs, signal });
    this.#context.observer.count("call_waits", hasTurn ? "turn" : "refused");
    return hasTurn;
  }

  /** Records what a send says of the capacity of an endpoint; null if it answered. */
  noteSend(endpoint: EndpointRecord, failure: SendFailure | null): void {
    if (failure?.kind === "notExecuted") this.#queue.noteRefused();
    if (failure) return;
    endpoint.noteRoom();
    this.#queue.noteFree();
  }

  get #queue(): CallQueue {
    return this.#context.callQueues.of(this.#options.service);
  }
}
