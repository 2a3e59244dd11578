/** An HTTP server as a part of the daemon. */
import { randomUUID } from "node:crypto";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerOptions,
  type ServerResponse,
} from "node:http";
import { createServer as createTlsServer } from "node:https";
import type { Socket } from "node:net";
import {
  mayHaveRun,
  notRun,
  type Observer,
  type Refusal,
} from "@teaselvalve/core";
import type { Component } from "../lifecycle/manager.ts";
import type { TlsFiles } from "../settings/load.ts";
import type { Limits } from "../settings/schema.ts";
import { ConnectionSweep } from "./connection_sweep.ts";
import type { Exchange } from "./exchange.ts";
import { formatRawProblem, sendProblem } from "./problem.ts";

/** Options of {@link createHttpComponent}. */
export interface HttpComponentOptions {
  name: string;
  /** Host and port. */
  address: string;
  handle: (exchange: Exchange) => Promise<void> | void;
  observer: Observer;
  limits: Limits;
  /** Plain when absent. */
  tls?: TlsFiles | undefined;
  /** Level of the line that each answered request is logged with. */
  requestLogLevel: "debug" | "info";
  /** Leaves out the headers that help people alone, as the VMs' own calls are many. */
  omitDiagnosticHeaders?: boolean;
  /** True while each answer ends its connection, for instance before a stop. */
  shouldCloseConnections?: () => boolean;
  stopTimeoutMs?: number;
}

/** What an interface has under way. */
export interface Activity {
  readonly connections: number;
  readonly requests: number;
  /** Answers that have begun and not ended. */
  readonly streams: number;
}

/** A part that serves one interface. */
export interface HttpComponent extends Component {
  activity(): Activity;
  /** Changes how long connections may be idle and headers may take, in force for what comes next. */
  setTimeouts(times: { idleMs: number; headersMs: number }): void;
}

// Callers that arrive together fill Node's usual queue of 511.
const LISTEN_BACKLOG = 4_096;
const REFUSED_IN_A_TURN = 20;
const CHECK_INTERVAL_MS = 1_000;
/** Time that a closing interface leaves for headers that are on their way. */
const CLOSE_UNUSED_INTERVAL_MS = 500;
// Connections over the limit that are told so; what comes on top is dropped unanswered.
const REFUSED_CONNECTIONS = 100;

/** Serves one interface. */
export function createHttpComponent(
  options: HttpComponentOptions,
): HttpComponent {
  const http = new HttpInterface(options);
  return {
    name: options.name,
    stopTimeoutMs: options.stopTimeoutMs,
    start: () => http.listen(),
    stop: () => http.close(),
    abort: () => http.abort(),
    activity: () => http.activity(),
    setTimeouts: (times) => http.setTimes(times),
  };
}

/** Owns the sockets of one interface. */
class HttpInterface {
  #options: HttpComponentOptions;
  #server: Server;
  #sweep: ConnectionSweep;
  #responses = new Set<ServerResponse>();
  #refused: { socket: Socket; problem: RawProblem }[] = [];
  #refusedSockets = new WeakSet<Socket>();
  #closing = false;
  #closeTimer: ReturnType<typeof setInterval> | undefined;

  constructor(options: HttpComponentOptions) {
    this.#options = options;
    const { limits, observer } = options;
    this.#server = createNodeServer(options, (incoming, response) => {
      void this.#answer(incoming, response);
    });
    this.#sweep = new ConnectionSweep({
      stalledMs: limits.slowReaderMs,
      onStalled: () => observer.count("refusals", "slow-reader"),
    });
    this.#server.maxConnections = limits.connections + REFUSED_CONNECTIONS;
    // One more than allowed, so that the excess shows.
    this.#server.maxHeadersCount = limits.headerCount + 1;
    // Under TLS a request's socket is the one that the handshake gives.
    const opened = options.tls ? "secureConnection" : "connection";
    this.#server.on(opened, (socket: Socket) => this.#admit(socket));
    this.#server.on(
      "drop",
      () => observer.count("refusals", "too-many-connections"),
    );
    // Node drops the connection of this method where nobody takes it.
    this.#server.on("connect", (_incoming, socket) => {
      const detail = "CONNECT is not served";
      const refusal = notRun("bad-request", { detail });
      this.#refuseSocket(socket as Socket, { refusal, status: 400 });
    });
    this.#server.on("clientError", (error, socket) => {
      this.#refuseBroken(socket as Socket, refusalOf(error));
    });
  }

  listen(): Promise<void> {
    const [host, port] = splitAddress(this.#options.address);
    this.#sweep.start();
    return new Promise((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen({ port, host, backlog: LISTEN_BACKLOG }, resolve);
    });
  }

  /** Takes nothing new and waits for the requests under way. */
  close(): Promise<void> {
    this.#closing = true;
    return new Promise((resolve) => {
      this.#server.close(() => {
        this.#endTimers();
        resolve();
      });
      this.#server.closeIdleConnections();
      this.#closeUnused({ withoutBytes: true });
      // Node stops to time connections once its server closes.
      this.#closeTimer = setInterval(
        () => this.#closeUnused({ withoutBytes: false }),
        CLOSE_UNUSED_INTERVAL_MS,
      );
    });
  }

  abort(): void {
    this.#endTimers();
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

  setTimes(times: { idleMs: number; headersMs: number }): void {
    this.#server.keepAliveTimeout = times.idleMs;
    this.#server.headersTimeout = times.headersMs;
  }

  #endTimers(): void {
    this.#sweep.stop();
    clearInterval(this.#closeTimer);
  }

  // Node counts a connection as active until its first request, however long that takes.
  #closeUnused(options: { withoutBytes: boolean }): void {
    const used = new Set([...this.#responses].map((one) => one.socket));
    for (const socket of this.#sweep.connections()) {
      if (used.has(socket)) continue;
      if (options.withoutBytes && socket.bytesRead > 0) continue;
      socket.destroy();
    }
  }

  #admit(socket: Socket): void {
    if (this.#sweep.size < this.#options.limits.connections) {
      this.#sweep.add(socket);
      return;
    }
    socket.on("error", () => {});
    const refusal = notRun("too-many-connections");
    this.#refuseSocket(socket, { refusal, status: 503 });
  }

  async #answer(
    incoming: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    // After a suspension a connection times out just before its request is read.
    if (this.#refusedSockets.has(incoming.socket)) return;
    const id = randomUUID();
    const startedMs = performance.now();
    if (this.#options.omitDiagnosticHeaders) response.sendDate = false;
    else response.setHeader("request-id", id);
    if (this.#closing || this.#options.shouldCloseConnections?.()) {
      response.setHeader("connection", "close");
    }
    // A connection that breaks shows as the response's close.
    incoming.on("error", () => {});
    response.on("error", () => {});
    this.#responses.add(response);
    const url = parseUrl(incoming.url);
    const exchange = url &&
      { incoming, response, url, id, logFields: {} } satisfies Exchange;
    response.once("close", () => {
      this.#responses.delete(response);
      this.#logRequest(exchange, { incoming, response, id, startedMs });
    });
    const refusal = this.#checkHeaders(incoming);
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
    // What the handler did before it failed is not known here.
    if (exchange.response.headersSent) exchange.response.destroy();
    else this.#refuse(exchange.response, mayHaveRun("internal-error"));
  }

  // A request that was received whole gets its own answer, and the connection ends with it.
  #refuseBroken(socket: Socket, problem: RawProblem): void {
    const underWay = [...this.#responses].filter((one) =>
      one.socket === socket && one.req.complete
    );
    if (underWay.length === 0) return this.#refuseSocket(socket, problem);
    for (const response of underWay) {
      response.once("finish", () => socket.destroySoon());
    }
  }

  // Connections that were opened together time out together; answering them all
  // in one turn would hold up every other request.
  #refuseSocket(socket: Socket, problem: RawProblem): void {
    this.#options.observer.count("refusals", problem.refusal.reason);
    this.#refusedSockets.add(socket);
    this.#refused.push({ socket, problem });
    if (this.#refused.length === 1) setImmediate(() => this.#answerRefused());
  }

  #answerRefused(): void {
    for (
      const { socket, problem } of this.#refused.splice(0, REFUSED_IN_A_TURN)
    ) {
      endWithProblem(socket, problem);
    }
    if (this.#refused.length > 0) setImmediate(() => this.#answerRefused());
  }

  #logRequest(
    exchange: Exchange | null,
    details: {
      incoming: IncomingMessage;
      response: ServerResponse;
      id: string;
      startedMs: number;
    },
  ): void {
    const { incoming, response, id, startedMs } = details;
    this.#options.observer.log({
      event: "request",
      level: this.#options.requestLogLevel,
      request: id,
      interface: this.#options.name,
      method: incoming.method,
      path: exchange?.url.pathname,
      status: response.headersSent ? response.statusCode : undefined,
      complete: response.writableFinished,
      durationMs: Math.round(performance.now() - startedMs),
      ...exchange?.logFields,
    });
  }
}

interface RawProblem {
  refusal: Refusal;
  status: number;
}

/** Splits `host:port`. */
export function splitAddress(address: string): [string, number] {
  const at = address.lastIndexOf(":");
  return [address.slice(0, at), Number(address.slice(at + 1))];
}

function createNodeServer(
  { limits, tls }: HttpComponentOptions,
  listener: (incoming: IncomingMessage, response: ServerResponse) => void,
): Server {
  const common: ServerOptions = {
    maxHeaderSize: limits.headerBytes,
    headersTimeout: Math.min(limits.headersMs, limits.requestMs),
    requestTimeout: limits.requestMs,
    keepAliveTimeout: limits.idleMs,
    connectionsCheckingInterval: Math.min(CHECK_INTERVAL_MS, limits.headersMs),
  };
  if (!tls) return createServer(common, listener);
  return createTlsServer({
    ...common,
    cert: tls.certificate,
    key: tls.key,
    ca: tls.authorities,
    requestCert: tls.requireClientCertificate,
    rejectUnauthorized: tls.requireClientCertificate,
    handshakeTimeout: limits.headersMs,
  }, listener);
}

function parseUrl(target: string | undefined): URL | null {
  const base = "http://vm";
  return URL.canParse(target ?? "/", base)
    ? new URL(target ?? "/", base)
    : null;
}

function endWithProblem(socket: Socket, problem: RawProblem): void {
  if (!socket.writable) return void socket.destroy();
  socket.end(formatRawProblem(problem.refusal, problem.status), () => {
    socket.destroy();
  });
}

function refusalOf(error: Error): RawProblem {
  const { code } = error as { code?: string };
  if (code === "HPE_HEADER_OVERFLOW") {
    return { refusal: notRun("headers-too-large"), status: 431 };
  }
  if (code === "ERR_HTTP_REQUEST_TIMEOUT") {
    return { refusal: notRun("request-timeout"), status: 408 };
  }
  return { refusal: notRun("bad-request"), status: 400 };
}
