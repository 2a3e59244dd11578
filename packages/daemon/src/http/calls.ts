/** Calls by undici, with failures that say whether a byte was sent. */
import { err, ok, type Result } from "neverthrow";
import { Agent, type Dispatcher, errors } from "undici";

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
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly text: string;
}

const NOT_SENT_CODES = new Set([
  "ECONNREFUSED",
  "EHOSTUNREACH",
  "ENETUNREACH",
  "ENOTFOUND",
]);
/** The same codes can come later, from a connection that was open. */
const BEFORE_SENDING_SYSCALLS = new Set(["connect", "getaddrinfo"]);

/** Creates an agent whose connections are kept for later calls. */
export function createKeptAgent(): Agent {
  return new Agent({ pipelining: 1, keepAliveTimeout: 10_000 });
}

/** Creates an agent that takes a new connection for every call. */
export function createFreshAgent(): Agent {
  return new Agent({ pipelining: 0 });
}

/** Makes one call and reads its whole answer. It never repeats it. */
export async function callHttp(
  agent: Dispatcher,
  call: HttpCall,
): Promise<Result<HttpAnswer, HttpFailure>> {
  try {
    const answer = await agent.request({
      origin: `http://${call.address}`,
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body,
      signal: AbortSignal.timeout(Math.max(1, Math.ceil(call.timeoutMs))),
    });
    return ok({
      status: answer.statusCode,
      contentType: String(answer.headers["content-type"] ?? ""),
      text: await answer.body.text(),
    });
  } catch (error) {
    return err(failureOf(error));
  }
}

/** Tells how a call failed from the error that the library threw. */
export function failureOf(error: unknown): HttpFailure {
  if (isBeforeSending(error)) return { kind: "notSent" };
  const { name } = error as { name?: string };
  return { kind: name === "TimeoutError" ? "timeout" : "lost" };
}

function isBeforeSending(error: unknown): boolean {
  if (error instanceof errors.ConnectTimeoutError) return true;
  // One error for each address of a name that has several.
  if (error instanceof AggregateError) {
    return error.errors.length > 0 && error.errors.every(isBeforeSending);
  }
  const { code, syscall } = error as { code?: string; syscall?: string };
  return NOT_SENT_CODES.has(code ?? "") &&
    BEFORE_SENDING_SYSCALLS.has(syscall ?? "");
}
