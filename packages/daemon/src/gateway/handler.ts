/** Handles requests of callers that are routed by host and path. */
import type { ServerResponse } from "node:http";
import { setImmediate } from "node:timers/promises";
import {
  asId,
  freeMemory,
  mayHaveRun,
  notRun,
  type Observer,
  type Refusal,
} from "@teaselvalve/core";
import type {
  AnswerHead,
  AnswerSink,
  AttemptId,
  Authenticator,
  EndpointAnswer,
  Hop,
  Route,
  RoutedOutcome,
  RoutedRequest,
  Router,
} from "@teaselvalve/core/routing";
import { type Exchange, readBytes } from "../http/exchange.ts";
import type { WorkspaceMetrics } from "../observe/workspace_metrics.ts";
import { sendProblem } from "../http/problem.ts";
import { truncateResponse } from "../http/truncate_response.ts";
import { PROCESS_UNREAD_TIME } from "../http/unread_time.ts";
import { BatchedWriter } from "./batched_writer.ts";
import { findKeyedRoute, identifyCaller } from "./identify_caller.ts";
import { markAnswer, markRefusal, readHop, withoutHop } from "./hop.ts";
import type { CallerFields, EndpointProtocol } from "./protocol.ts";
import { RequestTally } from "./request_tally.ts";
import { watchCaller } from "./watch_caller.ts";

/** Options of {@link createGatewayHandler}. */
export interface GatewayHandlerOptions {
  router: Router;
  /** Checks keys; by default, none are needed. */
  authenticator?: Authenticator;
  protocol: EndpointProtocol;
  observer: Observer;
  /** Formats the `retry-after` header. */
  formatRetryAfter: (retryAfterMs: number) => string;
  /** Counts requests by workspace and priority; by default they are not counted. */
  counters?: Pick<WorkspaceMetrics, "note">;
  /** Whether the requests were sent on by other VMs; they then say so. */
  acceptsHops?: boolean;
  /** Resolves when requests can be served, or after a short timeout. */
  waitReady: () => Promise<void>;
  /**
   * Waits for the routing table of a request that was sent on; returns the refusal if
   * this VM doesn't get it. Absent where no such requests are accepted.
   */
  awaitTable?: (hop: Hop, leftMs: number) => Promise<Refusal | null>;
  /**
   * Registers a listener for the moment when requests in progress are cut off; returns
   * a function that removes it.
   */
  onCut: (listener: () => void) => () => void;
  /**
   * Called when a request begins. The returned function is called once it has been
   * handled and its response was written to the connection, or this was closed.
   */
  track: () => () => void;
}

/** Options of one request. */
interface RequestOptions extends GatewayHandlerOptions {
  readonly tally: RequestTally;
}

/** Body limit until the first routing table is received. */
const DEFAULT_BODY_LIMIT_BYTES = 1_048_576;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Creates the handler of the callers' interface. */
export function createGatewayHandler(
  options: GatewayHandlerOptions,
): (exchange: Exchange) => Promise<void> {
  PROCESS_UNREAD_TIME.start();
  return async (exchange) => {
    const end = options.track();
    const tally = new RequestTally(options.counters, exchange.receivedAtMs);
    try {
      await handleRequest(exchange, { ...options, tally });
      const { reason } = exchange.logFields;
      tally.end(reason === undefined ? undefined : String(reason));
    } catch (error) {
      tally.end("internal-error");
      throw error;
    } finally {
      afterResponse(exchange, end);
    }
  };
}

// The rest of a response is buffered in this process while its caller reads slowly.
// Node emits no `close` for a response that waits behind an earlier one of its
// connection, so the connection itself is watched.
function afterResponse(
  { incoming: { socket }, response }: Exchange,
  listener: () => void,
): void {
  if (response.writableFinished || socket.destroyed) return listener();
  const notify = () => {
    response.off("finish", notify);
    socket.off("close", notify);
    listener();
  };
  // Any number of pipelined responses may wait for one connection.
  socket.setMaxListeners(0);
  response.once("finish", notify);
  socket.once("close", notify);
}

async function handleRequest(
  exchange: Exchange,
  options: RequestOptions,
): Promise<void> {
  const { incoming, receivedAtMs } = exchange;
  const { router, protocol, tally } = options;
  const hop = options.acceptsHops ? readHop(incoming.headers) : null;
  const callerFields = protocol.readCallerHeaders(incoming.headers);
  const fields = hop ? { ...callerFields, ...hop.fields } : callerFields;
  const rawHeaders = hop
    ? withoutHop(incoming.rawHeaders)
    : incoming.rawHeaders;
  if (hop) noteHop(exchange, { from: hop.hop.from, fields, options });
  exchange.logFields.attempt = fields.attemptId ?? undefined;
  exchange.logFields.resumes = fields.resumes ?? undefined;
  exchange.logFields.after = fields.lastEventId ?? undefined;
  const refuse = (refusal: Refusal) =>
    refuseRequest(exchange, { options, refusal });
  await options.waitReady();
  const outdated = hop && await options.awaitTable?.(
    hop.hop,
    fields.timeoutMs ?? Infinity,
  );
  if (outdated) return refuse(outdated);
  const limits = router.table?.limits;
  const limitBytes = limits?.headerBytes ?? Infinity;
  const isTooLarge = headerBytes(rawHeaders) > limitBytes;
  // Headers that are too large because of their key are refused for the key.
  if (isTooLarge && !isKeyTooLarge(rawHeaders, { limitBytes, options })) {
    return refuse(notRun("headers-too-large"));
  }
  const keyed = { rawHeaders, forwarded: hop?.forwardedKey };
  const route = await findKeyedRoute(keyed, {
    ...options,
    timeoutMs: fields.timeoutMs,
    match: () =>
      router.match(hostOf(incoming.headers.host), incoming.url ?? "/"),
  });
  if (!("prefix" in route)) return refuse(route);
  tally.noteRoute(route);
  exchange.logFields.route = route.name;
  const tableVersion = router.table?.version;
  exchange.logFields.table = tableVersion;
  const timeoutMs = Math.min(fields.timeoutMs ?? Infinity, route.timeoutMs);
  const stopping = router.refusalOfStop(route, timeoutMs);
  if (stopping) return refuse(stopping);
  const identity = identifyCaller(keyed, { ...options, route });
  if (identity.isErr()) return refuse(identity.error);
  tally.noteRoute(route, identity.value);
  exchange.logFields.workspace = identity.value.workspace;
  if (fields.attemptId === null) {
    return refuse(notRun("bad-request", { detail: "The request has no id" }));
  }
  if (isTooLarge) return refuse(notRun("headers-too-large"));
  const body = await readBytes(
    incoming,
    limits?.bodyBytes ?? DEFAULT_BODY_LIMIT_BYTES,
    // What comes later can't be answered any more, and would hold memory until then.
    { timeoutMs },
  );
  if (body.isErr()) return refuse(body.error);
  const request: RoutedRequest = {
    id: asId<AttemptId>(fields.attemptId),
    method: incoming.method ?? "GET",
    host: incoming.headers.host ?? "",
    target: incoming.url ?? "/",
    ...identity.value,
    body: body.value,
    receivedAtMs,
    callerTimeoutMs: fields.timeoutMs,
    lastEventId: fields.lastEventId,
    resumes: fields.resumes === null ? null : asId<AttemptId>(fields.resumes),
    prompt: fields.prompt,
    ...(fields.tokenCount == null ? {} : { tokenCount: fields.tokenCount }),
    ...(tableVersion === undefined ? {} : { tableVersion }),
    ...(hop ? { hop: hop.hop } : {}),
  };
  const signal = watchCaller(exchange, options);
  await readPendingCloses();
  if (signal.aborted) {
    freeMemory(body.value);
    return refuse(notRun("cancelled"));
  }
  const cut = new AbortController();
  const removeListener = options.onCut(() => cut.abort());
  const outcome = await routeRequest(exchange, {
    request,
    route,
    signal: AbortSignal.any([signal, cut.signal]),
    options,
  }).finally(() => {
    removeListener();
    freeMemory(body.value);
  });
  sendOutcome(exchange, {
    outcome: cut.signal.aborted ? nameCut(outcome) : outcome,
    tableVersion,
    options,
  });
}

// The run was cancelled by this VM, not by its caller.
function nameCut(outcome: RoutedOutcome): RoutedOutcome {
  if (outcome.kind !== "refused") return outcome;
  const refusal = outcome.refusal.kind === "notRun"
    ? notRun("stopping")
    : mayHaveRun("cut-by-stop");
  return { kind: "refused", refusal };
}

// On a busy VM, the close of a connection may have arrived together with its request.
// It is read in the next turn of the event loop.
async function readPendingCloses(): Promise<void> {
  await setImmediate();
  await setImmediate();
}

// The peer interface logs no line for each request.
function noteHop(
  exchange: Exchange,
  { from, fields, options }: {
    from: string;
    fields: CallerFields;
    options: GatewayHandlerOptions;
  },
): void {
  exchange.logFields.forwardedBy = from;
  options.observer.log({
    event: "request-taken-over",
    attempt: fields.attemptId ?? undefined,
    from,
    after: fields.lastEventId ?? undefined,
    leftMs: Math.round(fields.timeoutMs ?? 0),
  });
}

async function routeRequest(
  { response }: Exchange,
  { request, route, signal, options }: {
    request: RoutedRequest;
    route: Route;
    /** Aborted when the caller leaves. */
    signal: AbortSignal;
    options: RequestOptions;
  },
): Promise<RoutedOutcome> {
  const { tableVersion } = request;
  if (options.acceptsHops) markAnswer(response, { tableVersion });
  const writer = new BatchedWriter(response);
  const outcome = await options.router.handle(request, {
    route,
    sink: createSink(response, { writer, tableVersion, ...options }),
    signal,
  });
  writer.flush();
  return outcome;
}

function sendOutcome(
  exchange: Exchange,
  { outcome, tableVersion, options }: {
    outcome: RoutedOutcome;
    tableVersion: number | undefined;
    options: GatewayHandlerOptions;
  },
): void {
  const { response, logFields: fields } = exchange;
  fields.end = outcome.kind;
  switch (outcome.kind) {
    case "answered":
      if (options.acceptsHops) {
        markAnswer(response, { ...outcome.answer, tableVersion });
      }
      return sendAnswer(response, outcome.answer);
    case "complete":
      return void response.end();
    case "refused":
      return refuseRequest(exchange, { options, refusal: outcome.refusal });
    case "broken":
      fields.reason = outcome.reason;
      options.observer.count("broken_streams", outcome.reason);
      return truncateResponse(exchange);
  }
}

function refuseRequest(
  { response, logFields: fields }: Exchange,
  { options, refusal }: { options: GatewayHandlerOptions; refusal: Refusal },
): void {
  fields.reason = refusal.reason;
  fields.verdict = refusal.kind;
  options.observer.count("refusals", refusal.reason);
  if (options.acceptsHops) markRefusal(response, refusal);
  sendProblem(response, refusal, {
    formatRetryAfter: options.formatRetryAfter,
  });
}

function sendAnswer(response: ServerResponse, answer: EndpointAnswer): void {
  if (response.destroyed) return freeMemory(answer.body);
  response.once("close", () => freeMemory(answer.body));
  const hasNoBody = answer.status === STATUS_NO_CONTENT ||
    answer.status === STATUS_NOT_MODIFIED || response.req.method === "HEAD";
  const headers = hasNoBody
    ? answer.headers
    : [...withoutContentLength(answer), contentLengthOf(answer)];
  response.writeHead(answer.status, flattenHeaders(headers));
  response.end(hasNoBody ? undefined : answer.body);
}

function createSink(
  response: ServerResponse,
  { writer, tally, tableVersion, acceptsHops = false }: {
    writer: BatchedWriter;
    tally: RequestTally;
    tableVersion: number | undefined;
    acceptsHops?: boolean;
  },
): AnswerSink {
  return {
    head: (head) => {
      tally.noteAnswer();
      if (response.destroyed) return;
      if (acceptsHops) markAnswer(response, { ...head, tableVersion });
      response.writeHead(
        head.status,
        flattenHeaders(withoutContentLength(head)),
      );
      response.flushHeaders();
    },
    write: (bytes) => writer.write(bytes),
    onDrain: (listener) => void response.once("drain", listener),
  };
}

// A stream may be continued by further sends, so the length from the first one is
// not valid for it.
function withoutContentLength(head: AnswerHead): [string, string][] {
  return head.headers.filter(([name]) => name !== "content-length");
}

function contentLengthOf(answer: EndpointAnswer): [string, string] {
  return ["content-length", String(answer.body.length)];
}

function flattenHeaders(
  headers: readonly (readonly [string, string])[],
): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}

function hostOf(host: string | undefined): string {
  const name = (host ?? "").toLowerCase();
  const colonAt = name.lastIndexOf(":");
  return colonAt > 0 ? name.slice(0, colonAt) : name;
}

function isKeyTooLarge(
  rawHeaders: readonly string[],
  { limitBytes, options: { authenticator, protocol } }: {
    limitBytes: number;
    options: GatewayHandlerOptions;
  },
): boolean {
  return authenticator?.isActive === true &&
    headerBytes(protocol.withWorkspace(rawHeaders, null)) <= limitBytes;
}

function headerBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
