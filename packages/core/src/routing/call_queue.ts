/**
 * Calls that wait at this VM while all endpoints of a plain service refuse them.
 *
 * Handles bursts in which all slots and queues of the endpoints are taken. Sending each
 * call at once to one endpoint after the other uses up its sends within milliseconds and
 * serves whichever call comes at the right moment, whatever its priority.
 */
import type { ServiceName } from "../common/ids.ts";

/**
 * Time until the next call is sent although no endpoint is known to have room. Equal to
 * the time for which one that refused a call counts as full; doubles with each refusal.
 */
const MIN_INTERVAL_MS = 50;
/** Bounds the refused sends of many VMs while all endpoints stay full. */
const MAX_INTERVAL_MS = 200;
/** Time between two answers that is assumed before calls have waited: that of a short call. */
const INITIAL_ANSWER_MS = 10;
/** Weight of the newest sample in the average time between two answers. */
const ANSWER_WEIGHT = 0.1;

/** A call that waits for its turn. */
export interface WaitingCall {
  /** Its priority, 0 being the highest. */
  readonly priority: number;
  /** When it has to be sent at the latest, on the monotonic clock. */
  readonly latestMs: number;
  readonly signal: AbortSignal;
}

interface Entry extends WaitingCall {
  readonly settle: (hasTurn: boolean) => void;
}

/** Gives turns to the waiting calls of one service, by priority and latest start. */
export class CallQueue {
  #waiting: Entry[] = [];
  #timer: ReturnType<typeof setTimeout> | undefined;
  #intervalMs = MIN_INTERVAL_MS;
  /** Average time between two answers while calls waited, each of which frees a slot. */
  #answerMs = INITIAL_ANSWER_MS;
  #answeredAtMs = -Infinity;

  /** Number of calls that wait. */
  get length(): number {
    return this.#waiting.length;
  }

  /**
   * Resolves with true once it is the call's turn to be sent, and with false if that
   * would be too late, which is told at once where it can be foreseen.
   */
  wait(call: WaitingCall): Promise<boolean> {
    const index = this.#indexOf(call);
    const expectedMs = (index + 1) * this.#answerMs;
    const leftMs = call.latestMs - performance.now();
    if (call.signal.aborted || expectedMs > leftMs) {
      return Promise.resolve(false);
    }
    return new Promise((resolve) => {
      const leave = () => {
        this.#waiting = this.#waiting.filter((other) => other !== entry);
        entry.settle(false);
      };
      const timer = setTimeout(leave, leftMs);
      call.signal.addEventListener("abort", leave);
      const settle = (hasTurn: boolean) => {
        clearTimeout(timer);
        call.signal.removeEventListener("abort", leave);
        resolve(hasTurn);
      };
      const entry = { ...call, settle };
      this.#waiting.splice(index, 0, entry);
      this.#timer ??= setTimeout(() => this.#giveTurn(), this.#intervalMs);
    });
  }

  /** Records that an endpoint answered a call, so that it has a free slot. */
  noteFree(): void {
    const nowMs = performance.now();
    const sampleMs = Math.min(MAX_INTERVAL_MS, nowMs - this.#answeredAtMs);
    this.#answeredAtMs = nowMs;
    this.#intervalMs = MIN_INTERVAL_MS;
    if (this.#waiting.length === 0) return;
    this.#answerMs += ANSWER_WEIGHT * (sampleMs - this.#answerMs);
    this.#giveTurn();
  }

  /** Records that an endpoint refused a call for lack of capacity. */
  noteRefused(): void {
    this.#intervalMs = Math.min(MAX_INTERVAL_MS, 2 * this.#intervalMs);
  }

  #indexOf({ priority, latestMs }: WaitingCall): number {
    const index = this.#waiting.findIndex((other) =>
      other.priority > priority ||
      other.priority === priority && other.latestMs > latestMs
    );
    return index < 0 ? this.#waiting.length : index;
  }

  #giveTurn(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#waiting.shift()?.settle(true);
    if (this.#waiting.length === 0) return;
    this.#timer = setTimeout(() => this.#giveTurn(), this.#intervalMs);
  }
}

/** The queues of all services at one VM. */
export class CallQueues {
  #queues = new Map<ServiceName, CallQueue>();

  /** Returns the queue of a service. */
  of(service: ServiceName): CallQueue {
    const queue = this.#queues.get(service) ?? new CallQueue();
    this.#queues.set(service, queue);
    return queue;
  }
}
