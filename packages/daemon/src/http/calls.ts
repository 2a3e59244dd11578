/**
 * Outgoing HTTP calls through undici. Each failure says whether any byte of the
 * request may have been sent.
 *
 * Pipelining is off everywhere: with one request at a time per connection,
 * undici never retries a request that it has started to write, because a
 * connection failure also fails that request.
 */
import type { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Writable } from "node:stream";
import {
  ByteCollector,
  type Observer,
  SILENT_OBSERVER,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import { Agent, Client, type Dispatcher, errors } from "undici";
import { createConnector } from "./client_connection.ts";
import { logConnectionFault, type ThrownError } from "./connection_faults.ts";
import { isHttpStatus } from "./status.ts";

/** How a call failed. Only `notSent` proves that the server received nothing. */
export type HttpFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** One outgoing request. `address` is `host:port`. */
export interface HttpCall {
  method: "GET" | "POST" | "PUT" | "DELETE" | string;
  address: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  /**
   * Limit for the whole call, from connecting to the end of the response body; with
   * `wholeMs`, for the time until the response's head and between parts of its body.
   */
  timeoutMs: number;
  /**
   * Limit for the whole call, for a response so large that a slow link needs longer
   * than it takes to notice that a connection has become unresponsive.
   */
  wholeMs?: number;
}

/** A response whose body has been read completely. */
export interface HttpResponse {
  readonly status: number;
  /** By lower-case name. */
  readonly headers: IncomingHttpHeaders;
  readonly contentType: string;
  readonly text: string;
}

/** Certificates for outgoing TLS connections, in PEM. */
export interface ClientTls {
  /** Trusted certificate authorities; Node's defaults when undefined. */
  readonly authorities: string | undefined;
  readonly certificate: string;
  readonly key: string;
}

/** Options of {@link createKeepAliveClient} and {@link createFreshClient}. */
export interface HttpClientOptions {
  /** Plain HTTP when absent. */
  tls?: ClientTls | undefined;
  /** Maximum size of a response body; a larger one fails with `lost`. */
  responseLimitBytes?: number;
  /** Learns of exceptions within connections, whose calls fail as `lost`. */
  observer?: Observer | undefined;
}

/** Sends HTTP requests. */
export interface HttpClient {
  /** Sends a request once, without retries, and reads the whole response. */
  call(call: HttpCall): Promise<Result<HttpResponse, HttpFailure>>;
  /** Destroys the connections; calls in flight on them fail. */
  close(): Promise<void>;
}

const KEEP_ALIVE_MS = 10_000;
/** TCP retransmits a lost handshake packet after one second. */
const CONNECT_TIMEOUT_MS = 1_500;
const DEFAULT_RESPONSE_LIMIT_BYTES = 16 * 1_024 * 1_024;

/**
 * Creates a client that reuses connections. After a call times out, none of the
 * open connections to that address are reused, because all of them may have
 * become unresponsive.
 */
export function createKeepAliveClient(
  options: HttpClientOptions = {},
): HttpClient {
  const agents = new Map<string, Agent>();
  const getAgent = (address: string): Agent => {
    const existing = agents.get(address);
    if (existing) return existing;
    const agent: Agent = new Agent({
      ...connectionOptions(options, {
        address,
        onFault: () => discardAgent(address, agent),
      }),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    agents.set(address, agent);
    return agent;
  };
  const discardAgent = (address: string, agent: Agent) => {
    if (agents.get(address) === agent) agents.delete(address);
    // Calls in flight on the other connections are allowed to finish.
    agent.close().catch(() => {});
  };
  return {
    async call(call) {
      if (!hasAddress(call, options)) return err({ kind: "notSent" });
      const agent = getAgent(call.address);
      const response = await sendCall(agent, { call, options });
      if (response.isErr() && response.error.kind === "timeout") {
        discardAgent(call.address, agent);
      }
      return response;
    },
    async close() {
      await Promise.all([...agents.values()].map((agent) => agent.destroy()));
      agents.clear();
    },
  };
}

/** Creates a client that opens a new connection for every call and closes it afterwards. */
export function createFreshClient(options: HttpClientOptions = {}): HttpClient {
  const clients = new Set<Client>();
  return {
    async call(call) {
      if (!hasAddress(call, options)) return err({ kind: "notSent" });
      const connection = openConnection(call.address, options);
      clients.add(connection.client);
      const response = await sendCall(connection.client, { call, options });
      clients.delete(connection.client);
      await connection.client.destroy();
      return connection.connected()
        ? response
        : response.mapErr(() => ({ kind: "notSent" }));
    },
    async close() {
      await Promise.all([...clients].map((client) => client.destroy()));
    },
  };
}

/** A connection for a single request. */
export interface FreshConnection {
  readonly client: Client;
  /** False until the connection is established; until then no byte can have been sent. */
  connected(): boolean;
}

/**
 * Creates a connection that is opened by its first request. The code that
 * creates it must destroy its client.
 */
export function openConnection(
  address: string,
  options: HttpClientOptions = {},
): FreshConnection {
  const client = new Client(originOf(address, options), {
    ...connectionOptions(options, { address }),
    pipelining: 0,
  });
  let connected = false;
  client.once("connect", () => {
    connected = true;
  });
  return { client, connected: () => connected };
}

/** Maps an error thrown by undici to the way that the call failed. */
export function classifyError(error: unknown): HttpFailure {
  if (isConnectFailure(error)) return { kind: "notSent" };
  const { name } = error as { name?: string };
  return { kind: name === "TimeoutError" ? "timeout" : "lost" };
}

async function sendCall(
  dispatcher: Dispatcher,
  { call, options }: { call: HttpCall; options: HttpClientOptions },
): Promise<Result<HttpResponse, HttpFailure>> {
  const limit = new CallLimit(call);
  // While connecting, undici doesn't react to an abort until the attempt succeeds or fails.
  const expired = new Promise<Result<HttpResponse, HttpFailure>>((resolve) => {
    limit.signal.addEventListener(
      "abort",
      () => resolve(err({ kind: "timeout" })),
    );
  });
  const response = await Promise.race([
    requestAndReadBody(dispatcher, { call, options, limit }),
    expired,
  ]);
  limit.end();
  return response;
}

/** Aborts a call that makes no progress for too long. */
class CallLimit {
  readonly #controller = new AbortController();
  readonly #timeoutMs: number;
  readonly #endsAtMs: number;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #immediate: ReturnType<typeof setImmediate> | undefined;

  constructor({ timeoutMs, wholeMs = timeoutMs }: HttpCall) {
    this.#timeoutMs = timeoutMs;
    this.#endsAtMs = performance.now() + wholeMs;
    this.noteProgress();
  }

  get signal(): AbortSignal {
    return this.#controller.signal;
  }

  noteProgress(): void {
    this.end();
    const leftMs = this.#endsAtMs - performance.now();
    const delayMs = Math.min(this.#timeoutMs, leftMs);
    // After a freeze of the process, the timer fires before what arrived meanwhile is
    // read.
    this.#timer = setTimeout(() => {
      this.#immediate = setImmediate(() => this.#expire());
    }, Math.max(1, Math.ceil(delayMs)));
  }

  end(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }

  #expire(): void {
    this.#controller.abort(new DOMException("", "TimeoutError"));
  }
}

async function requestAndReadBody(
  dispatcher: Dispatcher,
  { call, options, limit }: {
    call: HttpCall;
    options: HttpClientOptions;
    limit: CallLimit;
  },
): Promise<Result<HttpResponse, HttpFailure>> {
  const { responseLimitBytes = DEFAULT_RESPONSE_LIMIT_BYTES } = options;
  const collector = new ByteCollector({
    limitBytes: responseLimitBytes,
    use: "internal",
  });
  let status = 0;
  let headers: IncomingHttpHeaders = {};
  try {
    await dispatcher.stream({
      origin: originOf(call.address, options),
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body,
      signal: limit.signal,
    }, (response) => {
      status = response.statusCode;
      headers = response.headers;
      return collectInto(collector, () => limit.noteProgress());
    });
    const text = collector.failure ? null : collector.bytes.toString("utf8");
    if (text === null || !isHttpStatus(status)) return err({ kind: "lost" });
    const contentType = String(headers["content-type"] ?? "");
    return ok({ status, headers, contentType, text });
  } catch (error) {
    return err(classifyError(error));
  } finally {
    collector.discard();
  }
}

// Fails the response if it can't be collected.
function collectInto(
  collector: ByteCollector,
  onProgress: () => void,
): Writable {
  return new Writable({
    write(piece: Buffer, _encoding, callback) {
      onProgress();
      callback(
        collector.add(piece) === "refused"
          ? new Error("The response is too large")
          : null,
      );
    },
  });
}

// Error codes such as EHOSTUNREACH also occur on established connections, when the
// network reports them for bytes in transit. Only a failed connect or name lookup
// proves that nothing was sent.
function isConnectFailure(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isConnectFailure);
  }
  const { syscall } = error as { syscall?: string };
  return syscall === "connect" || syscall === "getaddrinfo";
}

// undici throws on an invalid address, which a faulty directory entry may have.
function hasAddress({ address }: HttpCall, options: HttpClientOptions) {
  return URL.canParse(originOf(address, options));
}

function originOf(address: string, { tls }: HttpClientOptions): string {
  return `${tls ? "https" : "http"}://${address}`;
}

function connectionOptions(
  { tls, observer = SILENT_OBSERVER }: HttpClientOptions,
  { address, onFault }: { address: string; onFault?: () => void },
) {
  return {
    // Each call has its own limits.
    headersTimeout: 0,
    bodyTimeout: 0,
    connect: createConnector({
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      ...(tls
        ? {
          tls: { ca: tls.authorities, cert: tls.certificate, key: tls.key },
        }
        : {}),
      onFault: (fault: ThrownError) => {
        onFault?.();
        logConnectionFault(observer, fault, { address });
      },
    }),
  };
}
