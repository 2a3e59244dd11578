/** Refuses connections, some in each turn of the event loop. */
import type { Observer } from "@teaselvalve/core";
import { endWithProblem, type RawProblem } from "./client_errors.ts";
import type { PacedConnection } from "./paced_connection.ts";

const REFUSALS_PER_TURN = 20;

/**
 * Connections that were opened together time out together. Refusing them all in one
 * turn of the event loop would delay every other request.
 */
export class RefusalQueue {
  #observer: Observer;
  #waiting: { connection: PacedConnection; problem: RawProblem }[] = [];
  #refused = new WeakSet<PacedConnection>();

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  /** Whether a connection was refused, so that its requests are not handled. */
  has(connection: PacedConnection): boolean {
    return this.#refused.has(connection);
  }

  /** Sends a refusal on a connection and closes it; only the first one is sent. */
  add(connection: PacedConnection, problem: RawProblem): void {
    if (this.has(connection)) return;
    this.#observer.count("refusals", problem.refusal.reason);
    this.#refused.add(connection);
    connection.stopParsing();
    this.#waiting.push({ connection, problem });
    if (this.#waiting.length === 1) setImmediate(() => this.#send());
  }

  #send(): void {
    const next = this.#waiting.splice(0, REFUSALS_PER_TURN);
    for (const { connection, problem } of next) {
      endWithProblem(connection, problem);
    }
    if (this.#waiting.length > 0) setImmediate(() => this.#send());
  }
}
