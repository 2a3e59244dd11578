/** Connections that wait for a call: the newest gets the outcome, an older one is superseded. */
import { mayHaveRun } from "../common/verdict.ts";
import type { CallResult } from "./machine.ts";

/** What a connection that waits is told. */
export type WaitOutcome =
  | (CallResult & { readonly replayed: boolean })
  /** Nothing was sent and nothing will be. */
  | { readonly kind: "released" }
  /** The key's row has to be judged first. */
  | { readonly kind: "occupied" };

/** A connection that waits. */
export interface Waiter {
  readonly id: string;
  readonly deadlineAtMs: number;
  /** True once the caller is gone. */
  readonly isDisconnected: () => boolean;
  readonly receive: (outcome: WaitOutcome) => void;
}

const SUPERSEDED: WaitOutcome = {
  kind: "refused",
  refusal: mayHaveRun("superseded"),
  replayed: false,
};

/** Owns the connection that waits for one call. */
export class Waiters {
  #current: Waiter | undefined;
  #superseded = new Set<string>();
  #timer: ReturnType<typeof setTimeout> | undefined;
  #onDeadline: () => void;

  constructor(onDeadline: () => void) {
    this.#onDeadline = onDeadline;
  }

  /** The newest connection, until it is told. */
  get current(): Waiter | undefined {
    return this.#current;
  }

  /** Lets a connection wait in place of an older one. */
  attach(waiter: Waiter): void {
    if (this.#superseded.has(waiter.id)) return waiter.receive(SUPERSEDED);
    const older = this.#current;
    if (older && older.id !== waiter.id) {
      this.#superseded.add(older.id);
      older.receive(SUPERSEDED);
    }
    this.#current = waiter;
    clearTimeout(this.#timer);
    this.#timer = setTimeout(
      () => this.#onDeadline(),
      Math.max(0, waiter.deadlineAtMs - Date.now()),
    );
  }

  /** Tells the newest connection, once. */
  notify(outcome: WaitOutcome): void {
    const told = this.#current;
    this.#current = undefined;
    clearTimeout(this.#timer);
    told?.receive(outcome);
  }
}
