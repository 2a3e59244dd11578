/** Refuses requests that a busy VM wouldn't begin, most of them before they are parsed. */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { NotRun, Refusal } from "@teaselvalve/core";
import type { PacedConnection } from "./paced_connection.ts";
import { formatRawProblem, sendProblem } from "./problem.ts";
import type { AdmittedRequests } from "./server_options.ts";
import { UnreadRefusals } from "./unread_refusal.ts";

/** Options of {@link OverloadRefusals}. */
export interface OverloadRefusalsOptions {
  admission: AdmittedRequests | undefined;
  /** Whether the interface is stopping, so that its requests end otherwise. */
  isStopping: () => boolean;
  /** Whether another connection may be kept open. */
  mayKeep: (kept: number) => boolean;
  /** How long a connection without requests is kept, in milliseconds. */
  idleMs: () => number;
  /** Takes over a new connection that isn't refused any more. */
  admit: (socket: Socket) => void;
}

/** The refusals of one interface. */
export class OverloadRefusals {
  #options: OverloadRefusalsOptions;
  #unread: UnreadRefusals | undefined;

  constructor(options: OverloadRefusalsOptions) {
    this.#options = options;
  }

  /** Takes a new connection if its first request would be refused. */
  takesNew(socket: Socket): boolean {
    if (!this.#refusesNew(socket)) return false;
    this.#unread ??= this.#createUnreadRefusals();
    this.#unread.add(socket);
    return true;
  }

  /** Notes that the next request of a connection is refused, and returns its answer. */
  refuseNext(
    connection: PacedConnection,
    { isHead }: { isHead: boolean },
  ): string {
    const { gate } = this.#options.admission!;
    return this.#format(gate.refuseNext(connection), {
      keepsOpen: true,
      isHead,
    });
  }

  /** Whether the next request of a connection would be refused. */
  refusesNext(connection: PacedConnection): boolean {
    return this.#mayRefuse() &&
      this.#options.admission!.gate.refusesNext(connection);
  }

  /** Refuses a request that was parsed, for less than handling it would cost. */
  refuseParsed(response: ServerResponse, refusal: Refusal): void {
    const { formatRetryAfter, mark } = this.#options.admission!;
    mark?.(response, refusal);
    sendProblem(response, refusal, { formatRetryAfter });
  }

  /** Closes a connection of which no request was parsed if it takes the place of another. */
  makeRoom(): void {
    const unread = this.#unread;
    if (unread && !this.#options.mayKeep(unread.kept)) unread.makeRoom();
  }

  /** Closes the connections of which no request was parsed and that aren't in use. */
  close(): void {
    this.#unread?.close();
  }

  /** Closes all connections of which no request was parsed. */
  abort(): void {
    this.#unread?.abort();
  }

  // Some interfaces admit only part of their requests, and have to read each.
  #mayRefuse(): boolean {
    const { admission, isStopping } = this.#options;
    return admission !== undefined && !admission.applies && !isStopping();
  }

  #refusesNew(socket: Socket): boolean {
    return this.#mayRefuse() &&
      this.#options.admission!.gate.refusesNew(socket.remoteAddress);
  }

  #createUnreadRefusals(): UnreadRefusals {
    const { mayKeep, idleMs, admit } = this.#options;
    return new UnreadRefusals({
      isRefused: (socket) => this.#refusesNew(socket),
      format: (options) =>
        this.#format(this.#options.admission!.gate.refuseConnection(), options),
      mayKeep,
      idleMs,
      admit,
    });
  }

  #format(
    refusal: NotRun,
    options: { keepsOpen: boolean; isHead: boolean },
  ): string {
    const { formatRetryAfter } = this.#options.admission!;
    return formatRawProblem(refusal, { formatRetryAfter, ...options });
  }
}
