/**
 * Connections that wait for a call: the newest receives the outcome, an older
 * one is superseded.
 */
import { mayHaveRun } from "../common/verdict.ts";
import type { CallResult } from "./machine.ts";

/** The outcome that a waiting connection receives. */
export type WaitOutcome =
  | (CallResult & { readonly replayed: boolean })
  /** Nothing was sent and nothing will be. */
  | { readonly kind: "released" }
  /** The key's row already exists and has to be examined first. */
  | { readonly kind: "occupied" };

/** A waiting connection. */
export interface Waiter {
  /** Id of the submission that waits; unique across all VMs. */
  readonly id: string;
  /** When the caller stops waiting, in ms of `Date.now`. */
  readonly deadlineAtMs: number;
  /** True once the caller has disconnected. */
  readonly isDisconnected: () => boolean;
  readonly receive: (outcome: WaitOutcome) => void;
}

const SUPERSEDED: WaitOutcome = {
  kind: "refused",
  refusal: mayHaveRun("superseded"),
  replayed: false,
};

/** Owns the connection that waits for one call, and its deadline. */
export class Waiters {
  #current: Waiter | undefined;
  #superseded = new Set<string>();
  #timer: ReturnType<typeof setTimeout> | undefined;
  #onDeadline: () => void;

  constructor(onDeadline: () => void) {
    this.#onDeadline = onDeadline;
  }

  /** The newest connection, until it has received the outcome. */
  get current(): Waiter | undefined {
    return this.#current;
  }

  /** Makes a connection wait for the outcome; an older one is superseded. */
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

  /** Sends the outcome to the newest connection and ends its wait. */
  notify(outcome: WaitOutcome): void {
    const waiter = this.#current;
    this.#current = undefined;
    clearTimeout(this.#timer);
    waiter?.receive(outcome);
  }
}
