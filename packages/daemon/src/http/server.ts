/** An HTTP server as a component of the daemon. */
import { randomUUID } from "node:crypto";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Duplex } from "node:stream";
import {
  mayHaveRun,
  type MemoryLease,
  notRun,
  PROCESS_MEMORY,
  type Refusal,
} from "@teaselvalve/core";
import { problemForClientError, type RawProblem } from "./client_errors.ts";
import { ConnectionSweep } from "./connection_sweep.ts";
import {
  type Exchange,
  parseTarget,
  refusalOfMemory,
  refusalOfStop,
} from "./exchange.ts";
import type { Activity, HttpComponent } from "./http_component.ts";
import { listenWhenFree } from "./listen.ts";
import { createNodeServer } from "./node_server.ts";
import { OverloadRefusals } from "./overload_refusals.ts";
import { PacedConnection, pacedOf } from "./paced_connection.ts";
import { sendProblem } from "./problem.ts";
import { awaitQuietTurns } from "./quiet_turns.ts";
import { RefusalQueue } from "./refusal_queue.ts";
import type { HttpComponentOptions } from "./server_options.ts";

export type { Activity, HttpComponent } from "./http_component.ts";
export type {
  AdmittedRequests,
  HttpComponentOptions,
} from "./server_options.ts";

/** Node's listener that attaches the HTTP parser to a connection. */
type ParseListener = (this: Server, connection: Duplex) => void;

// Node's default backlog of 511 overflows when many callers connect at once.
const LISTEN_BACKLOG = 4_096;
/** Time that a closing interface gives to request headers still in transit. */
const CLOSE_UNUSED_INTERVAL_MS = 500;
/** Memory that a request in progress takes, with its head and small bodies. */
const REQUEST_BYTES = 16 * 1_024;
// Connections over the limit that get a refusal; any above these are dropped.
const MAX_REFUSED_CONNECTIONS = 100;

/** Creates a component that serves one HTTP interface. */
export function createHttpComponent(
  options: HttpComponentOptions,
): HttpComponent {
  const httpInterface = new HttpInterface(options);
  return {
    name: options.name,
    stopTimeoutMs: options.stopTimeoutMs,
    start: () => httpInterface.listen(),
    stop: () => httpInterface.close(),
    abort: () => httpInterface.abort(),
    activity: () => httpInterface.activity(),
    refuseArrivals: () => httpInterface.refuseArrivals(),
    setTimeouts: (timeouts) => httpInterface.setTimeouts(timeouts),
  };
}

/** Owns the server and the connections of one interface. */
class HttpInterface {
  #options: HttpComponentOptions;
  #server: Server;
  #sweep: ConnectionSweep;
  #responses = new Set<ServerResponse>();
  #refusals: RefusalQueue;
  #overload: OverloadRefusals;
  #closing = false;
  /** Up to now. */
  #arrivals = { connections: 0, requests: 0 };
  /** What each request is refused with, if any. */
  #refusal: Refusal | null = null;
  #closeTimer: ReturnType<typeof setInterval> | undefined;

  constructor(options: HttpComponentOptions) {
    this.#options = options;
    const { limits, observer } = options;
    this.#refusals = new RefusalQueue(observer);
    this.#server = createNodeServer(options, (incoming, response) => {
      this.#receive(incoming, response);
    });
    this.#sweep = new ConnectionSweep({
      stalledMs: limits.slowReaderMs,
      onStalled: () => observer.count("refusals", "slow-reader"),
    });
    this.#server.maxConnections = limits.connections + MAX_REFUSED_CONNECTIONS;
    // Node drops excess headers silently; one more than the limit makes the excess
    // detectable.
    this.#server.maxHeadersCount = limits.headerCount + 1;
    // With TLS, requests use the socket that results from the handshake.
    const opened = options.tls ? "secureConnection" : "connection";
    const parse = this.#server.listeners(opened) as ParseListener[];
    this.#server.removeAllListeners(opened);
    this.#overload = new OverloadRefusals({
      admission: options.admission,
      isStopping: () => this.#isStopping(),
      mayKeep: (kept) => this.#sweep.size + kept < limits.connections,
      idleMs: () => this.#server.keepAliveTimeout,
      admit: (socket) => this.#admit(socket, parse),
    });
    this.#server.on(opened, (socket: Socket) => this.#open(socket, parse));
    this.#server.on(
      "drop",
      () => observer.count("refusals", "too-many-connections"),
    );
    // Without a listener, Node closes the connection of a CONNECT request without a
    // response.
    this.#server.on("connect", (_incoming, connection) => {
      const detail = "CONNECT is not served";
      const refusal = notRun("bad-request", { detail });
      this.#refusals.add(pacedOf(connection), { refusal, status: 400 });
    });
    this.#server.on("timeout", (connection) => this.#closeIdle(connection));
    this.#server.on("clientError", (error, connection) => {
      // Before its handshake, nothing can be sent on a connection with TLS.
      if (!(connection instanceof PacedConnection)) return connection.destroy();
      this.#refuseMalformed(connection, problemForClientError(error));
    });
  }

  listen(): Promise<void> {
    const { name, address, observer } = this.#options;
    this.#sweep.start();
    return listenWhenFree(this.#server, {
      name,
      address,
      backlog: LISTEN_BACKLOG,
      observer,
      stopped: () => this.#closing,
    });
  }

  refuseArrivals(): Promise<void> {
    this.#refusal = refusalOfStop();
    return awaitQuietTurns(() => ({
      ...this.#arrivals,
      hasUnread: () =>
        this.#sweep.connections().some((connection) => connection.hasUnread),
    }));
  }

  /** Stops accepting connections and waits for the requests in progress. */
  close(): Promise<void> {
    this.#closing = true;
    const inUse = () => this.#connectionsInUse();
    return new Promise((resolve) => {
      this.#server.close(() => {
        this.#stopTimers();
        resolve();
      });
      this.#server.closeIdleConnections();
      this.#overload.close();
      this.#sweep.closeUnused({ inUse, onlyWithoutBytes: true });
      // Node stops enforcing connection timeouts once the server is closing.
      this.#closeTimer = setInterval(
        () => this.#sweep.closeUnused({ inUse, onlyWithoutBytes: false }),
        CLOSE_UNUSED_INTERVAL_MS,
      );
    });
  }

  abort(): void {
    this.#stopTimers();
    this.#overload.abort();
    this.#server.closeAllConnections();
  }

  activity(): Activity {
    const responses = [...this.#responses];
    return {
      connections: this.#sweep.size,
      requests: responses.length,
      streams: responses.filter((response) => response.headersSent).length,
    };
  }

  setTimeouts(timeouts: { idleMs: number; headersMs: number }): void {
    this.#server.keepAliveTimeout = timeouts.idleMs;
    this.#server.headersTimeout = timeouts.headersMs;
  }

  #stopTimers(): void {
    this.#sweep.stop();
    clearInterval(this.#closeTimer);
  }

  #connectionsInUse(): Set<Duplex | null> {
    return new Set([...this.#responses].map(({ socket }) => socket));
  }

  // Node leaves the connection open if there is a listener for its timeout.
  #closeIdle(connection: Duplex): void {
    const { observer, name } = this.#options;
    if (this.#connectionsInUse().has(connection)) {
      observer.log({
        event: "timeout-while-busy",
        level: "warn",
        interface: name,
      });
    }
    connection.destroy();
  }

  #open(socket: Socket, parse: readonly ParseListener[]): void {
    this.#arrivals.connections += 1;
    const { admission } = this.#options;
    if (!admission?.applies) admission?.gate.noteConnection();
    if (!this.#overload.takesNew(socket)) this.#admit(socket, parse);
  }

  #admit(socket: Socket, parse: readonly ParseListener[]): void {
    const connection = new PacedConnection(socket, {
      memory: PROCESS_MEMORY,
      refusals: this.#overload,
      onRefused: (problem) => this.#refusals.add(connection, problem),
    });
    const isAdmitted = this.#sweep.size < this.#options.limits.connections;
    if (isAdmitted) {
      this.#overload.makeRoom();
      this.#sweep.add(connection);
    }
    for (const listener of parse) listener.call(this.#server, connection);
    if (isAdmitted) return;
    const refusal = notRun("too-many-connections");
    this.#refusals.add(connection, { refusal, status: 503 });
  }

  #receive(incoming: IncomingMessage, response: ServerResponse): void {
    // After a freeze of the process, a connection can time out just before its
    // request is read, and its refusal is already queued.
    const connection = pacedOf(incoming.socket);
    this.#arrivals.requests += 1;
    if (this.#refusals.has(connection)) return;
    connection.beginRequest(incoming, response);
    const receivedAtMs = performance.now();
    // A broken connection is handled by the response's close event.
    incoming.on("error", () => {});
    response.on("error", () => {});
    if (this.#options.omitDiagnosticHeaders) response.sendDate = false;
    this.#responses.add(response);
    response.once("close", () => {
      this.#responses.delete(response);
      connection.endRequest();
    });
    const begin = () =>
      void this.#handleRequest(incoming, { response, receivedAtMs });
    const { admission } = this.#options;
    const isAdmitted = admission?.applies?.(incoming.headers) ?? true;
    if (!admission || !isAdmitted || this.#refusal) return begin();
    admission.gate.receive({
      connection,
      timeoutMs: () => admission.timeoutMs(incoming.headers),
      describe: () => admission.describe(incoming.headers),
      waitedMs: connection.waitedMs,
      begin: () => {
        if (!response.destroyed) begin();
      },
      refuse: (refusal) => {
        this.#setClosing(response);
        this.#overload.refuseParsed(response, refusal);
      },
    });
  }

  #isStopping(): boolean {
    return this.#closing || this.#refusal !== null ||
      this.#options.shouldCloseConnections?.() === true;
  }

  // Requests that have been received get an answer first.
  #setClosing(response: ServerResponse): void {
    if (
      this.#isStopping() && !pacedOf(response.req.socket).hasWaitingRequests
    ) {
      response.setHeader("connection", "close");
    }
  }

  async #handleRequest(
    incoming: IncomingMessage,
    { response, receivedAtMs }: {
      response: ServerResponse;
      receivedAtMs: number;
    },
  ): Promise<void> {
    const id = randomUUID();
    if (!this.#options.omitDiagnosticHeaders) {
      response.setHeader("request-id", id);
    }
    this.#setClosing(response);
    const memory = this.#reserveMemory();
    const url = parseTarget(incoming.url);
    const exchange = url && {
      incoming,
      response,
      url,
      id,
      receivedAtMs,
      logFields: {},
    } satisfies Exchange;
    response.once("close", () => {
      memory?.release();
      this.#logRequest(exchange, { incoming, response, id, receivedAtMs });
    });
    const refusal = this.#refusal ??
      (memory ? this.#checkHeaders(incoming) : refusalOfMemory());
    if (refusal) return this.#refuse(response, refusal);
    if (!exchange) {
      const detail = "The path is malformed";
      return this.#refuse(response, notRun("bad-request", { detail }));
    }
    try {
      await this.#options.handle(exchange);
    } catch (error) {
      this.#fail(exchange, error);
    }
  }

  #reserveMemory(): MemoryLease | null {
    const { requestMemoryUse: use = "request" } = this.#options;
    return PROCESS_MEMORY.reserve(use, REQUEST_BYTES);
  }

  #checkHeaders(incoming: IncomingMessage): Refusal | null {
    const { headerCount } = this.#options.limits;
    return Object.keys(incoming.headersDistinct).length > headerCount ||
        incoming.rawHeaders.length / 2 > headerCount
      ? notRun("headers-too-large")
      : null;
  }

  #refuse(response: ServerResponse, refusal: Refusal): void {
    this.#options.observer.count("refusals", refusal.reason);
    sendProblem(response, refusal);
  }

  #fail(exchange: Exchange, error: unknown): void {
    const { observer, name } = this.#options;
    observer.log({
      event: "request-error",
      level: "error",
      request: exchange.id,
      interface: name,
      message: String(error),
    });
    // The handler may have had effects before it failed.
    if (exchange.response.headersSent) exchange.response.destroy();
    else this.#refuse(exchange.response, mayHaveRun("internal-error"));
  }

  // Requests that were received completely still get their responses; the connection
  // is closed after them.
  #refuseMalformed(connection: PacedConnection, problem: RawProblem): void {
    const received = [...this.#responses].filter(({ req }) =>
      pacedOf(req.socket) === connection && req.complete
    );
    if (received.length === 0) {
      if (connection.isBehindRequest) return connection.destroySoon();
      return this.#refusals.add(connection, problem);
    }
    connection.stopParsing();
    for (const response of received) {
      response.once("finish", () => connection.destroySoon());
    }
  }

  #logRequest(
    exchange: Exchange | null,
    details: {
      incoming: IncomingMessage;
      response: ServerResponse;
      id: string;
      receivedAtMs: number;
    },
  ): void {
    const { incoming, response, id, receivedAtMs } = details;
    this.#options.observer.log({
      event: "request",
      level: this.#options.requestLogLevel,
      request: id,
      interface: this.#options.name,
      method: incoming.method,
      path: exchange?.url.pathname,
      status: response.headersSent ? response.statusCode : undefined,
      complete: response.writableFinished,
      durationMs: Math.round(performance.now() - receivedAtMs),
      ...exchange?.logFields,
    });
  }
}
