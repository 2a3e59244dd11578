/** Requests that wait to be begun, in a fair order and for a bounded time. */
import { DecayingCount } from "../common/decaying_count.ts";

/** Weight of the newest sample in the average time between two begins. */
const INTERVAL_WEIGHT = 0.05;
/** Longer pauses are stalls of the process, and say nothing of what it can serve. */
const MAX_INTERVAL_SAMPLE_MS = 100;
/** Turns of the event loop that take longer are stalls. */
const STALL_MS = 300;
/** Requests that wait for longer than this aren't a burst any more. */
const MAX_BURST_MS = 500;
/** Time without waiting requests after which the measured times count half. */
const AGING_MS = 1_000;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 2_000;

/** A request that begins to wait. */
export interface NewRequest<T> {
  readonly item: T;
  /** Those of one flow share its turn. */
  readonly flow: string;
  /** How much its connection has asked for lately; in a flow, those with least go first. */
  readonly use: number;
  /** A request that would wait for longer, in milliseconds, is refused. */
  readonly maxWaitMs: number;
}

/** A request that waits. */
export interface WaitingRequest<T> extends NewRequest<T> {
  readonly sinceMs: number;
  maxWaitMs: number;
}

/** Options of {@link RequestQueue.noteTurn}. */
export interface QueueTurn {
  turnMs: number;
  /** Whether the turn began nothing, so that connections were accepted. */
  accepted: boolean;
}

/**
 * The requests of a busy VM that it has received and not begun. Flows take turns, so
 * that one which asks for much only lengthens its own wait. How long a request will wait
 * follows from its place and the measured time between two begins; one that would wait
 * for too long is refused while its caller still has time to try another VM. Time in
 * which the process stood still doesn't count as a wait.
 */
export class RequestQueue<T> {
  /** In the order of their turns. */
  #flows = new Map<string, WaitingRequest<T>[]>();
  #size = 0;
  /** Average time between two begins, and the part of it that isn't spent on accepting. */
  #intervalMs = 0;
  #workMs = 0;
  #lastTakenMs = 0;
  /** Time of turns that only accepted, since the last begin. */
  #acceptingMs = 0;
  #waitingSinceMs = 0;
  #stalledMs = 0;
  #offered = new DecayingCount();
  #begun = new DecayingCount();

  get size(): number {
    return this.#size;
  }

  /** Average time between two begins while requests waited, in milliseconds. */
  get intervalMs(): number {
    return this.#intervalMs;
  }

  /** Notes a turn of the event loop in which requests waited. */
  noteTurn({ turnMs, accepted }: QueueTurn): void {
    if (turnMs >= STALL_MS) this.#stalledMs += turnMs;
    else if (accepted) this.#acceptingMs += turnMs;
  }

  /** Notes a request that is begun without having waited. */
  noteBegun(): void {
    this.#offered.add();
    this.#begun.add();
  }

  /** Adds a request; returns what waits now, and those that have to be refused for it. */
  add(
    request: NewRequest<T>,
  ): { waiting: WaitingRequest<T>; refused: WaitingRequest<T>[] } {
    this.#offered.add();
    if (this.#size === 0) this.#beginWait();
    const waiting = { ...request, sinceMs: this.#nowMs() };
    const flow = this.#flows.get(request.flow) ?? [];
    this.#flows.set(request.flow, flow);
    const index = placeOf(flow, request.use);
    flow.splice(index, 0, waiting);
    this.#size += 1;
    const refused: WaitingRequest<T>[] = [];
    // Those behind it wait for longer than before.
    for (let at = flow.length - 1; at >= index; at -= 1) {
      const wholeWaitMs = this.waitedMs(flow[at]!) + this.#waitAt(at + 1);
      if (wholeWaitMs <= flow[at]!.maxWaitMs) continue;
      refused.push(...flow.splice(at, 1));
      this.#size -= 1;
    }
    if (flow.length === 0) this.#flows.delete(request.flow);
    return { waiting, refused };
  }

  /** Returns how long a request has waited, in milliseconds. */
  waitedMs({ sinceMs }: WaitingRequest<T>): number {
    return this.#nowMs() - sinceMs;
  }

  /** Removes and returns the requests that have waited for too long. */
  removeLate(): WaitingRequest<T>[] {
    // One moment for all, so that each is either late or not.
    const nowMs = this.#nowMs();
    const late: WaitingRequest<T>[] = [];
    for (const [name, flow] of this.#flows) {
      const others: WaitingRequest<T>[] = [];
      for (const request of flow) {
        const isLate = nowMs - request.sinceMs > request.maxWaitMs;
        (isLate ? late : others).push(request);
      }
      if (others.length === 0) this.#flows.delete(name);
      else if (others.length < flow.length) this.#flows.set(name, others);
    }
    this.#size -= late.length;
    return late;
  }

  /**
   * Returns how long another request of a flow would wait, in milliseconds: behind the
   * others, or behind those whose connections have asked for no more than `use`.
   */
  waitOfNext(flow: string, use = Infinity): number {
    const place = placeOf(this.#flows.get(flow) ?? [], use) + 1;
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

  /** Takes the first request that is the only one of its flow; null if there is none. */
  takeSingle(): WaitingRequest<T> | null {
    for (const [name, flow] of this.#flows) {
      if (flow.length > 1) continue;
      this.#flows.delete(name);
      this.#size -= 1;
      return flow[0]!;
    }
    return null;
  }

  /** Notes that a request which waited is begun. */
  noteTaken(): void {
    this.#begun.add();
    const nowMs = performance.now();
    const sampleMs = Math.min(
      nowMs - this.#lastTakenMs,
      MAX_INTERVAL_SAMPLE_MS,
    );
    const workMs = Math.max(0, sampleMs - this.#acceptingMs);
    this.#lastTakenMs = nowMs;
    this.#acceptingMs = 0;
    this.#intervalMs += INTERVAL_WEIGHT * (sampleMs - this.#intervalMs);
    this.#workMs += INTERVAL_WEIGHT * (workMs - this.#workMs);
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
    return before * this.#expectedIntervalMs();
  }

  // In a burst, all connections will soon be accepted.
  #expectedIntervalMs(): number {
    const isBurst = performance.now() - this.#waitingSinceMs < MAX_BURST_MS;
    return isBurst ? this.#workMs : this.#intervalMs;
  }

  // What was measured long ago says less of what can be served now.
  #beginWait(): void {
    const nowMs = performance.now();
    const share = 2 ** (-(nowMs - this.#lastTakenMs) / AGING_MS);
    this.#intervalMs *= share;
    this.#workMs *= share;
    this.#lastTakenMs = nowMs;
    this.#waitingSinceMs = nowMs;
    this.#acceptingMs = 0;
  }

  /** Time without stalls of the process. */
  #nowMs(): number {
    return performance.now() - this.#stalledMs;
  }
}

/** Returns the number of requests that go before another, by their connections' use. */
function placeOf(flow: readonly { use: number }[], use: number): number {
  let [low, high] = [0, flow.length];
  while (low < high) {
    const middle = (low + high) >> 1;
    if (flow[middle]!.use > use) high = middle;
    else low = middle + 1;
  }
  return low;
}
