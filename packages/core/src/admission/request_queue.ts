/** Requests that wait to be begun, in a fair order and for a bounded time. */
import { DecayingCount } from "../common/decaying_count.ts";

/** Weight of the newest sample in the average time between two begins. */
const INTERVAL_WEIGHT = 0.05;
/** Longer pauses are stalls of the process, and say nothing of what it can serve. */
const MAX_INTERVAL_SAMPLE_MS = 100;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

/** A request that waits. */
export interface WaitingRequest<T> {
  readonly item: T;
  /** Those of one flow share its turn. */
  readonly flow: string;
  /** How much its connection has asked for lately; in a flow, those with least go first. */
  readonly use: number;
  readonly sinceMs: number;
  /** A request that would wait for longer is refused. */
  readonly maxWaitMs: number;
}

/**
 * The requests of a busy VM that it has received and not begun. Flows take turns, so
 * that one which asks for much only lengthens its own wait. How long a request will wait
 * follows from its place and the measured time between two begins; one that would wait
 * for too long is refused while its caller still has time to try another VM.
 */
export class RequestQueue<T> {
  /** In the order of their turns. */
  #flows = new Map<string, WaitingRequest<T>[]>();
  #size = 0;
  #intervalMs = 0;
  #lastTakenMs = 0;
  #offered = new DecayingCount();
  #begun = new DecayingCount();

  get size(): number {
    return this.#size;
  }

  /** Average time between two begins while requests waited, in milliseconds. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Notes a request that is begun without having waited. */
  noteBegun(): void {
    this.#offered.add();
    this.#begun.add();
  }

  /** Adds a request and returns those that have to be refused for it, maybe itself. */
  add(request: WaitingRequest<T>): WaitingRequest<T>[] {
    this.#offered.add();
    if (this.#size === 0) this.#lastTakenMs = performance.now();
    const flow = this.#flows.get(request.flow) ?? [];
    this.#flows.set(request.flow, flow);
    const after = flow.findIndex(({ use }) => use > request.use);
    flow.splice(after < 0 ? flow.length : after, 0, request);
    this.#size += 1;
    const last = flow.at(-1)!;
    if (this.#waitAt(flow.length) <= last.maxWaitMs) return [];
    flow.pop();
    this.#size -= 1;
    if (flow.length === 0) this.#flows.delete(request.flow);
    return [last];
  }

  /** Returns how long another request of a flow would wait behind the others, in milliseconds. */
  waitOfNext(flow: string): number {
    const place = (this.#flows.get(flow)?.length ?? 0) + 1;
    return this.#size === 0 ? 0 : this.#waitAt(place);
  }

  /** Notes a request that is refused without having been added. */
  noteRefused(): void {
    this.#offered.add();
  }

  /** Takes the next request; null if none waits. It may have waited for too long. */
  take(): WaitingRequest<T> | null {
    const next = this.#flows.entries().next();
    if (next.done) return null;
    const [name, flow] = next.value;
    const request = flow.shift()!;
    this.#size -= 1;
    this.#flows.delete(name);
    if (flow.length > 0) this.#flows.set(name, flow);
    return request;
  }

  /** Notes that a request which waited is begun. */
  noteTaken(): void {
    this.#begun.add();
    const nowMs = performance.now();
    const sampleMs = Math.min(
      nowMs - this.#lastTakenMs,
      MAX_INTERVAL_SAMPLE_MS,
    );
    this.#lastTakenMs = nowMs;
    this.#intervalMs += INTERVAL_WEIGHT * (sampleMs - this.#intervalMs);
  }

  /**
   * Returns after how long a refused request may be sent again: the more is offered than
   * begun, the longer, so that what comes back fits. `random` is in [0, 1).
   */
  retryAfterMs({ waitMs, random }: { waitMs: number; random: number }): number {
    const excess = this.#offered.current() /
      Math.max(1, this.#begun.current());
    const spreadMs = waitMs * Math.max(1, excess) * (0.5 + random);
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, spreadMs));
  }

  // When a flow's request at this place is begun, each other flow has had as many turns.
  #waitAt(place: number): number {
    let before = 0;
    for (const { length } of this.#flows.values()) {
      before += Math.min(length, place);
    }
    return before * this.#intervalMs;
  }
}
