/** An incoming HTTP request with its response, and helpers to read and answer it. */
import type { Buffer } from "node:buffer";
import { setImmediate } from "node:timers/promises";
import type { IncomingMessage, ServerResponse } from "node:http";
import {
  ByteCollector,
  freeMemory,
  type LogValue,
  type MemoryLease,
  notRun,
  PROCESS_MEMORY,
  type Refusal,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";

/** Bodies up to this size are paid for with their request. */
const UNPAID_BODY_BYTES = 8 * 1_024;
/** How long a body waits for memory; callers that aren't read for a second leave. */
const MAX_MEMORY_WAIT_MS = 250;
/** Shortest and longest time after which a request without memory is to be sent again. */
const MIN_MEMORY_RETRY_MS = 200;
const MAX_MEMORY_RETRY_MS = 2_000;

/** Another VM can take the request at once. */
const STOP_RETRY_MS = 50;

/** An incoming request that is being handled. */
export interface Exchange {
  readonly incoming: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  /** When its head was received, by the monotonic clock. */
  readonly receivedAtMs: number;
  /**
   * Identifies the request in log lines and in the `request-id` header, which is
   * not sent if `omitDiagnosticHeaders` is set.
   */
  readonly id: string;
  /** Additional fields of the request's log line; handlers add to them. */
  readonly logFields: Record<string, LogValue>;
}

/** Reads a request's body as UTF-8 text; refuses a body over `limitBytes`. */
export async function readBody(
  incoming: IncomingMessage,
  limitBytes: number,
): Promise<Result<string, Refusal>> {
  const bytes = await readBytes(incoming, limitBytes);
  return bytes.map((body) => {
    const text = body.toString("utf8");
    freeMemory(body);
    return text;
  });
}

/** Options of {@link readBytes}. */
export interface ReadBytesOptions {
  /** Time after which the whole body must have arrived; unlimited by default. */
  timeoutMs?: number;
}

/**
 * Reads a request's body. Refuses one over `limitBytes`, one that ends early or comes
 * too slowly, and one for which there is no memory, before any of it is kept.
 */
export async function readBytes(
  incoming: IncomingMessage,
  limitBytes: number,
  { timeoutMs = Infinity }: ReadBytesOptions = {},
): Promise<Result<Buffer, Refusal>> {
  const endsAtMs = performance.now() + timeoutMs;
  const tooLarge = notRun("body-too-large", {
    detail: `The body may have ${limitBytes} bytes`,
  });
  const declaredBytes = Number(incoming.headers["content-length"] ?? 0);
  if (declaredBytes > limitBytes) return err(tooLarge);
  const lease = declaredBytes > UNPAID_BODY_BYTES
    ? await waitForMemory(incoming, declaredBytes)
    : undefined;
  if (lease === null) return err(refusalOfMemory(declaredBytes));
  const collector = new ByteCollector({
    use: "body",
    limitBytes: lease ? declaredBytes : limitBytes,
    ...(lease ? { lease } : {}),
  });
  if (lease) collector.expect(declaredBytes);
  const timeLimit = new AbortController();
  const timer = Number.isFinite(endsAtMs)
    ? setTimeout(() => timeLimit.abort(), endsAtMs - performance.now())
    : undefined;
  const { signal } = timeLimit;
  const body = await collectBody(incoming, { collector, signal });
  clearTimeout(timer);
  if (lease) await readPendingClose();
  collector.discard();
  if (signal.aborted) return err(notRun("request-timeout"));
  if (collector.failure === "no-memory") {
    return err(refusalOfMemory(limitBytes));
  }
  if (collector.failure === "too-large") return err(tooLarge);
  return body
    ? ok(body)
    : err(notRun("bad-request", { detail: "The body ended early" }));
}

/**
 * Returns the refusal of a request for which the VM has no memory now; `sizeBytes` is
 * what its body may need. The time after which it may return is spread, so that refused
 * callers don't return together.
 */
export function refusalOfMemory(sizeBytes = 0): Refusal {
  const waitMs = Math.max(
    MIN_MEMORY_RETRY_MS,
    PROCESS_MEMORY.estimateWaitMs("body", sizeBytes),
  );
  const retryAfterMs = Math.min(waitMs, MAX_MEMORY_RETRY_MS) *
    (1 + Math.random());
  return notRun("no-memory", { retryAfterMs });
}

// Bodies wait unread, so that their callers are slowed down.
async function waitForMemory(
  incoming: IncomingMessage,
  sizeBytes: number,
): Promise<MemoryLease | null> {
  const wait = new AbortController();
  const end = () => wait.abort();
  const timer = setTimeout(end, MAX_MEMORY_WAIT_MS);
  incoming.once("close", end);
  const { signal } = wait;
  const lease = await PROCESS_MEMORY.wait({ use: "body", sizeBytes, signal });
  clearTimeout(timer);
  incoming.off("close", end);
  return lease;
}

// A large body may have waited unread with its caller's close behind it, which is read in
// the next turn of the event loop.
async function readPendingClose(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

// Null if the body ended early, the collector gave it up, or it was aborted. Iterating
// over the stream would destroy the connection on an early exit; this keeps it open so
// that a refusal can be sent.
function collectBody(
  incoming: IncomingMessage,
  { collector, signal }: { collector: ByteCollector; signal: AbortSignal },
): Promise<Buffer | null> {
  return new Promise((resolve) => {
    const finish = (body: Buffer | null) => {
      incoming.removeAllListeners("data");
      incoming.resume();
      resolve(body);
    };
    if (incoming.destroyed || signal.aborted) return finish(null);
    signal.addEventListener("abort", () => finish(null));
    incoming.on("data", (chunk: Buffer) => {
      if (collector.add(chunk) === "refused") finish(null);
    });
    incoming.once("end", () => finish(collector.take()));
    incoming.once("close", () => finish(null));
    incoming.once("error", () => finish(null));
  });
}

/** Parses a JSON body; refuses malformed JSON as `bad-request`. */
export function parseJson(text: string): Result<unknown, Refusal> {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err(
      notRun("bad-request", { detail: "The body is not JSON" }),
    );
  }
}

/** Sends a JSON response and ends it. */
export function sendJson(
  response: ServerResponse,
  body: unknown,
  status = 200,
): void {
  response.writeHead(status, { "content-type": "application/json" });
  response.end(JSON.stringify(body));
}

/** Sends a text response with status 200 and ends it. */
export function sendText(
  response: ServerResponse,
  text: string,
  contentType: string,
): void {
  response.writeHead(200, { "content-type": contentType });
  response.end(text);
}

/**
 * Reads a header by its lower-case name. If the request repeats it, Node joins the
 * values, mostly with commas, or keeps only the first, depending on the header. Only
 * `set-cookie` is an array; its first value is returned.
 */
export function header(
  incoming: IncomingMessage,
  name: string,
): string | undefined {
  const value = incoming.headers[name];
  return Array.isArray(value) ? value[0] : value;
}

/** Reads the bearer token from the `authorization` header, if there is one. */
export function bearerToken(incoming: IncomingMessage): string | undefined {
  return /^Bearer (.+)$/i.exec(header(incoming, "authorization") ?? "")?.[1];
}

/** Returns the refusal of a request that arrives once this VM takes no more. */
export function refusalOfStop(): Refusal {
  return notRun("stopping", { retryAfterMs: STOP_RETRY_MS });
}

/** Returns the URL of a request's target; null if it is malformed. */
export function parseTarget(target: string | undefined): URL | null {
  const base = "http://vm";
  return URL.canParse(target ?? "/", base)
    ? new URL(target ?? "/", base)
    : null;
}
