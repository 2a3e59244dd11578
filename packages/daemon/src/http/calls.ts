/**
 * Calls by undici, with failures that say whether a byte was sent.
 *
 * The library repeats no request that it began to write, as long as it doesn't
 * pipeline: on a connection with one request at a time each failure ends that
 * request. Pipelining is therefore off on every path.
 */
import { err, ok, type Result } from "neverthrow";
import { Agent, Client, type Dispatcher, errors } from "undici";

/** How a call failed. Only `notSent` proves that nothing arrived. */
export type HttpFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** One outgoing call. */
export interface HttpCall {
  method: "GET" | "POST" | "PUT" | "DELETE" | string;
  address: string;
  path: string;
  headers?: Record<string, string>;
  body?: string;
  timeoutMs: number;
}

/** An answer that was read whole. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

/** Certificates for calls by TLS, in PEM. */
export interface ClientTls {
  readonly authorities: string | undefined;
  readonly certificate: string;
  readonly key: string;
}

/** Options of {@link createKeepAliveCaller} and {@link createFreshCaller}. */
export interface HttpCallerOptions {
  /** Plain when absent. */
  tls?: ClientTls | undefined;
  /** Limit of an answer's body. */
  responseLimitBytes?: number;
}

/** Makes calls. */
export interface HttpCaller {
  /** Makes one call and reads its whole answer. It never repeats it. */
  call(call: HttpCall): Promise<Result<HttpResponse, HttpFailure>>;
  /** Ends the connections. */
  close(): Promise<void>;
}

const KEEP_ALIVE_MS = 10_000;
/** A lost packet of the handshake is sent again after one second. */
const CONNECT_TIMEOUT_MS = 1_500;
const ANSWER_LIMIT_BYTES = 64 * 1_024 * 1_024;

/**
 * Creates a caller whose connections are kept for later calls. After a call
 * that timed out, no connection to that address is used again, as the silence
 * may have taken all of them.
 */
export function createKeepAliveCaller(
  options: HttpCallerOptions = {},
): HttpCaller {
  const agents = new Map<string, Agent>();
  const agentOf = (address: string): Agent => {
    const known = agents.get(address);
    if (known) return known;
    const agent = new Agent({
      ...connectionOptions(options),
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
    });
    agents.set(address, agent);
    return agent;
  };
  const retire = (address: string, agent: Agent) => {
    if (agents.get(address) === agent) agents.delete(address);
    // Calls that are under way on other connections go on until they end.
    agent.close().catch(() => {});
  };
  return {
    async call(call) {
      const agent = agentOf(call.address);
      const answer = await sendCall(agent, { call, options });
      if (answer.isErr() && answer.error.kind === "timeout") {
        retire(call.address, agent);
      }
      return answer;
    },
    async close() {
      await Promise.all([...agents.values()].map((agent) => agent.destroy()));
      agents.clear();
    },
  };
}

/** Creates a caller that takes a new connection for every call and closes it afterwards. */
export function createFreshCaller(options: HttpCallerOptions = {}): HttpCaller {
  const clients = new Set<Client>();
  return {
    async call(call) {
      const connection = openConnection(call.address, options);
      clients.add(connection.client);
      const answer = await sendCall(connection.client, { call, options });
      clients.delete(connection.client);
      await connection.client.destroy();
      return connection.connected()
        ? answer
        : answer.mapErr(() => ({ kind: "notSent" }));
    },
    async close() {
      await Promise.all([...clients].map((client) => client.destroy()));
    },
  };
}

/** A connection that carries one request. */
export interface FreshConnection {
  readonly client: Client;
  /** False as long as no byte can have been sent. */
  connected(): boolean;
}

/** Opens a connection at its first request. Its owner destroys it. */
export function openConnection(
  address: string,
  options: HttpCallerOptions = {},
): FreshConnection {
  const client = new Client(originOf(address, options), {
    ...connectionOptions(options),
    pipelining: 0,
  });
  let connected = false;
  client.once("connect", () => {
    connected = true;
  });
  return { client, connected: () => connected };
}

/** Tells how a call failed from the error that the library threw. */
export function classifyError(error: unknown): HttpFailure {
  if (failedToConnect(error)) return { kind: "notSent" };
  const { name } = error as { name?: string };
  return { kind: name === "TimeoutError" ? "timeout" : "lost" };
}

async function sendCall(
  dispatcher: Dispatcher,
  { call, options }: { call: HttpCall; options: HttpCallerOptions },
): Promise<Result<HttpResponse, HttpFailure>> {
  const timeoutMs = Math.max(1, Math.ceil(call.timeoutMs));
  const signal = AbortSignal.timeout(timeoutMs);
  // The library hears of an abort only once a connection stands, or can't.
  const expired = new Promise<Result<HttpResponse, HttpFailure>>((resolve) => {
    signal.addEventListener("abort", () => resolve(err({ kind: "timeout" })));
  });
  return await Promise.race([
    requestWhole(dispatcher, { call, options, signal }),
    expired,
  ]);
}

async function requestWhole(
  dispatcher: Dispatcher,
  { call, options, signal }: {
    call: HttpCall;
    options: HttpCallerOptions;
    signal: AbortSignal;
  },
): Promise<Result<HttpResponse, HttpFailure>> {
  try {
    const answer = await dispatcher.request({
      origin: originOf(call.address, options),
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body,
      signal,
    });
    return ok({
      status: answer.statusCode,
      contentType: String(answer.headers["content-type"] ?? ""),
      text: await answer.body.text(),
    });
  } catch (error) {
    return err(classifyError(error));
  }
}

// The same codes come from established connections too, when the network reports
// them for bytes on their way; only the connect call itself proves that nothing was sent.
function failedToConnect(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(failedToConnect);
  }
  const { syscall } = error as { syscall?: string };
  return syscall === "connect" || syscall === "getaddrinfo";
}

function originOf(address: string, { tls }: HttpCallerOptions): string {
  return `${tls ? "https" : "http"}://${address}`;
}

function connectionOptions(
  { tls, responseLimitBytes: answerLimitBytes }: HttpCallerOptions,
) {
  return {
    allowH2: false,
    connectTimeout: CONNECT_TIMEOUT_MS,
    maxResponseSize: answerLimitBytes ?? ANSWER_LIMIT_BYTES,
    ...(tls
      ? {
        connect: { ca: tls.authorities, cert: tls.certificate, key: tls.key },
      }
      : {}),
  };
}
