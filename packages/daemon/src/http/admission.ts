/** Decides which received requests are begun, and paces them over turns of the event loop. */
import {
  DecayingCount,
  type LogValue,
  type NotRun,
  notRun,
  type Observer,
  type Refusal,
  RequestQueue,
  type WaitingRequest,
} from "@teaselvalve/core";
import type { PacedConnection } from "./paced_connection.ts";

/** Requests that are begun in one turn of the event loop. */
const BEGINS_PER_TURN = 4;
/**
 * Connections that are accepted for each request that is begun, while others wait to be.
 * Node accepts one connection of a listener in each turn, so that turns which begin
 * nothing come between.
 */
const ACCEPTS_PER_BEGIN = 8;
/** The same for a request that is the only one of its flow that waits. */
const ACCEPTS_PER_SINGLE = 2;
/** Turns that begin nothing may take this long together. */
const MAX_ACCEPT_MS = 30;
/** A request that waits for longer than this is refused; callers turn to other VMs soon. */
const MAX_WAIT_MS = 600;
/** Longest wait of a request whose caller has closed its half of the connection. */
const MAX_HALF_CLOSED_WAIT_MS = 100;
const LATE_CHECK_INTERVAL_MS = 25;
/** Part of that wait from which on the requests of new connections aren't read. */
const UNREAD_SHARE = 0.75;
/**
 * Part of its caller's time that a request may wait. A refused caller waits as long before
 * its next try, so that a shorter wait helps it more than a refusal.
 */
const MAX_WAIT_SHARE = 1 / 3;
/** What another try takes; callers without time for it can only be served here. */
const NEXT_TRY_MS = 100;
/** Part of such a caller's time that its request may wait. */
const HURRIED_WAIT_SHARE = 3 / 4;
/** A VM without refusals for this long isn't busy any more. */
const BUSY_MS = 1_000;
/** Refusals of one busy interval that get a log line each. */
const MAX_REFUSAL_LINES = 20;

/** A request that has been received. */
export interface ReceivedRequest {
  readonly connection: PacedConnection;
  /** How long its caller waits, in milliseconds; null if it didn't say. */
  readonly timeoutMs: () => number | null;
  /** Fields that identify it in a log line. */
  readonly describe: () => Record<string, LogValue>;
  /** How long it has waited behind others on its connection, in milliseconds. */
  readonly waitedMs?: number;
  readonly begin: () => void;
  readonly refuse: (refusal: Refusal) => void;
}

/** Options of {@link Admission}. */
export interface AdmissionOptions {
  observer: Observer;
  /** Called when a request begins to wait; the returned function ends its wait. */
  track?: () => () => void;
  /** Returns a number in [0, 1), which spreads the times of retries. */
  random?: () => number;
}

interface Waiting extends ReceivedRequest {
  readonly endWait: () => void;
}

/** What happened while a VM was busy. */
interface BusyInterval {
  readonly sinceMs: number;
  begun: number;
  refused: number;
  maxWaitMs: number;
  maxTurnMs: number;
}

/**
 * Begins some requests in each turn of the event loop, so that turns stay short, and lets
 * the others wait in a fair queue. At calm, a request is begun at once.
 */
export class Admission {
  #options: AdmissionOptions;
  #queue = new RequestQueue<Waiting>();
  #uses = new WeakMap<PacedConnection, DecayingCount>();
  /** Requests that were begun in this turn. */
  #begun = 0;
  #isTurnPlanned = false;
  #turnedAtMs = 0;
  #longestTurnMs = 0;
  #lateCheckedAtMs = 0;
  #hasNewConnection = false;
  /** Whether a connection was accepted in the turn before, so that others may wait. */
  #isAccepting = false;
  /** Turns since a request was begun or none waited to be accepted, and their time. */
  #accepts = 0;
  #acceptMs = 0;
  #busy: BusyInterval | null = null;
  #busyTimer: ReturnType<typeof setTimeout> | undefined;
  /** Log lines of refused requests that had waited behind others. */
  #behindLines = new DecayingCount();

  constructor(options: AdmissionOptions) {
    this.#options = options;
  }

  /** Number of requests that wait to be begun. */
  get waiting(): number {
    return this.#queue.size;
  }

  /** Whether requests were refused within the last second. */
  get isBusy(): boolean {
    return this.#busy !== null;
  }

  /** Average time between two begins while requests waited, in milliseconds. */
  get intervalMs(): number {
    return this.#queue.intervalMs;
  }

  /** Returns the longest turn with requests since the last call, in milliseconds. */
  takeLongestTurnMs(): number {
    const longestMs = this.#longestTurnMs;
    this.#longestTurnMs = 0;
    return longestMs;
  }

  /** Notes that a connection was accepted, so that others may wait to be. */
  noteConnection(): void {
    this.#hasNewConnection = true;
    this.#planTurn();
  }

  /** Whether the first request of a new connection from this address would be refused. */
  refusesNew(remoteAddress: string | undefined): boolean {
    if (this.#queue.size === 0) return false;
    const flow = flowOf(remoteAddress, { isNew: true });
    return this.#queue.waitOfNext(flow) > UNREAD_SHARE * MAX_WAIT_MS;
  }

  /** Returns the refusal of a connection whose request isn't read. */
  refuseConnection(): NotRun {
    this.#queue.noteRefused();
    return this.#createRefusal();
  }

  /** Whether the next request of a connection would be refused. */
  refusesNext(connection: PacedConnection): boolean {
    if (this.#queue.size === 0) return false;
    const count = this.#uses.get(connection);
    const flow = flowOf(connection.remoteAddress, { isNew: !count });
    const use = useOf(1 + (count?.current() ?? 0));
    return this.#queue.waitOfNext(flow, use) > UNREAD_SHARE * MAX_WAIT_MS;
  }

  /** Returns the refusal of a connection's next request, which isn't parsed. */
  refuseNext(connection: PacedConnection): NotRun {
    this.#useOf(connection);
    return this.refuseConnection();
  }

  /** Begins a request now or later, or refuses it. */
  receive(request: ReceivedRequest): void {
    const { waitedMs = 0, timeoutMs } = request;
    if (waitedMs > MAX_WAIT_SHARE * (timeoutMs() ?? Infinity)) {
      return this.#refuseBehind(request, waitedMs);
    }
    const use = this.#useOf(request.connection);
    const mayBegin = !this.#isAccepting && this.#begun < BEGINS_PER_TURN;
    if (this.#queue.size === 0 && mayBegin) {
      this.#begun += 1;
      this.#queue.noteBegun();
      this.#planTurn();
      return request.begin();
    }
    this.#wait(request, use);
    this.#planTurn();
  }

  #wait(
    request: ReceivedRequest,
    use: { isNew: boolean; recent: number },
  ): void {
    const { connection } = request;
    const timeoutMs = request.timeoutMs() ?? Infinity;
    const endTracking = this.#options.track?.();
    const hurry = () => {
      const waitedMs = this.#queue.waitedMs(waiting);
      const lastMs = waitedMs + MAX_HALF_CLOSED_WAIT_MS;
      waiting.maxWaitMs = Math.min(waiting.maxWaitMs, lastMs);
    };
    const { waiting, refused } = this.#queue.add({
      item: {
        ...request,
        endWait: () => {
          connection.off("halfClose", hurry);
          endTracking?.();
        },
      },
      flow: flowOf(connection.remoteAddress, use),
      use: use.recent,
      maxWaitMs: maxWaitOf(timeoutMs),
    });
    if (connection.halfClosedAtMs === null) connection.on("halfClose", hurry);
    else hurry();
    for (const late of refused) this.#refuse(late);
  }

  #useOf(connection: PacedConnection): { isNew: boolean; recent: number } {
    const known = this.#uses.get(connection);
    const count = known ?? new DecayingCount();
    if (!known) this.#uses.set(connection, count);
    count.add();
    return { isNew: !known, recent: useOf(count.current()) };
  }

  #planTurn(): void {
    if (this.#isTurnPlanned) return;
    this.#isTurnPlanned = true;
    this.#turnedAtMs = performance.now();
    setImmediate(() => this.#turn());
  }

  #turn(): void {
    this.#isTurnPlanned = false;
    const turnMs = performance.now() - this.#turnedAtMs;
    this.#longestTurnMs = Math.max(this.#longestTurnMs, turnMs);
    if (this.#busy) {
      this.#busy.maxTurnMs = Math.max(this.#busy.maxTurnMs, turnMs);
    }
    this.#begun = 0;
    this.#isAccepting = this.#hasNewConnection;
    this.#hasNewConnection = false;
    this.#accepts += 1;
    this.#acceptMs += turnMs;
    const begins = this.#beginsOfTurn();
    const beginsSingle = begins === 0 &&
      this.#accepts % ACCEPTS_PER_SINGLE === 0;
    const accepted = begins === 0 && !beginsSingle;
    this.#queue.noteTurn({ turnMs, accepted });
    this.#refuseLate();
    if (begins > 0) {
      this.#accepts = 0;
      this.#acceptMs = 0;
      this.#beginNext(begins);
    } else if (beginsSingle) this.#beginNext(1, { onlySingle: true });
    if (this.#queue.size > 0 || this.#isAccepting) this.#planTurn();
  }

  #beginsOfTurn(): number {
    if (!this.#isAccepting) return BEGINS_PER_TURN;
    const hasAccepted = this.#accepts >= ACCEPTS_PER_BEGIN ||
      this.#acceptMs > MAX_ACCEPT_MS;
    return hasAccepted ? 1 : 0;
  }

  #beginNext(count: number, { onlySingle = false } = {}): void {
    while (this.#begun < count) {
      const next = onlySingle ? this.#queue.takeSingle() : this.#queue.take();
      if (!next) return;
      const { item, maxWaitMs } = next;
      const waitedMs = this.#queue.waitedMs(next);
      if (waitedMs > maxWaitMs) {
        this.#refuse(next);
        continue;
      }
      this.#begun += 1;
      this.#queue.noteTaken();
      if (this.#busy) {
        this.#busy.begun += 1;
        this.#busy.maxWaitMs = Math.max(this.#busy.maxWaitMs, waitedMs);
      }
      item.begin();
      item.endWait();
    }
  }

  #refuseLate(): void {
    const nowMs = performance.now();
    if (nowMs - this.#lateCheckedAtMs < LATE_CHECK_INTERVAL_MS) return;
    this.#lateCheckedAtMs = nowMs;
    for (const late of this.#queue.removeLate()) this.#refuse(late);
  }

  #refuse(waiting: WaitingRequest<Waiting>): void {
    const request = waiting.item;
    const refusal = this.#createRefusal();
    request.refuse(refusal);
    request.endWait();
    if (this.#busy!.refused > MAX_REFUSAL_LINES) return;
    this.#options.observer.log({
      event: "request-refused",
      reason: refusal.reason,
      waitedMs: Math.round(this.#queue.waitedMs(waiting)),
      waiting: this.#queue.size,
      retryAfterMs: Math.round(refusal.retryAfterMs),
      ...request.describe(),
    });
  }

  // It waited for its own connection, so that the VM needn't be busy.
  #refuseBehind(request: ReceivedRequest, waitedMs: number): void {
    const refusal = this.#formRefusal();
    request.refuse(refusal);
    if (this.#behindLines.current() > MAX_REFUSAL_LINES) return;
    this.#behindLines.add();
    this.#options.observer.log({
      event: "request-refused",
      reason: refusal.reason,
      waitedBehindMs: Math.round(waitedMs),
      retryAfterMs: Math.round(refusal.retryAfterMs),
      ...request.describe(),
    });
  }

  #createRefusal(): NotRun {
    this.#noteBusy().refused += 1;
    return this.#formRefusal();
  }

  #formRefusal(): NotRun {
    const { observer, random = Math.random } = this.#options;
    observer.count("refusals", "overloaded");
    const retryAfterMs = this.#queue.retryAfterMs({
      waitMs: MAX_WAIT_MS,
      random: random(),
    });
    return notRun("overloaded", { retryAfterMs });
  }

  #noteBusy(): BusyInterval {
    if (!this.#busy) {
      this.#busy = {
        sinceMs: performance.now(),
        begun: 0,
        refused: 0,
        maxWaitMs: 0,
        maxTurnMs: 0,
      };
      this.#options.observer.log({
        event: "vm-busy",
        level: "warn",
        waiting: this.#queue.size,
        intervalMs: round(this.#queue.intervalMs),
      });
      this.#busyTimer = setTimeout(() => this.#noteFree(), BUSY_MS).unref();
    } else this.#busyTimer!.refresh();
    return this.#busy;
  }

  #noteFree(): void {
    const { sinceMs, begun, refused, maxWaitMs, maxTurnMs } = this.#busy!;
    this.#busy = null;
    this.#options.observer.log({
      event: "vm-free",
      busyMs: Math.round(performance.now() - sinceMs),
      begun,
      refused,
      maxWaitMs: round(maxWaitMs),
      maxTurnMs: round(maxTurnMs),
      intervalMs: round(this.#queue.intervalMs),
    });
  }
}

// Connections that have asked for about as much have their turns in the order of their
// requests; otherwise each request that goes before others costs one of them its place.
function useOf(count: number): number {
  return Math.round(Math.log2(count));
}

/** Returns how long a request may wait before another VM would serve its caller sooner. */
export function maxWaitOf(timeoutMs: number): number {
  const hurriedMs = Math.min(NEXT_TRY_MS, HURRIED_WAIT_SHARE * timeoutMs);
  return Math.min(MAX_WAIT_MS, Math.max(MAX_WAIT_SHARE * timeoutMs, hurriedMs));
}

function flowOf(
  remoteAddress: string | undefined,
  { isNew }: { isNew: boolean },
): string {
  return `${remoteAddress} ${isNew ? "new" : "kept"}`;
}

function round(value: number): number {
  return Math.round(100 * value) / 100;
}
