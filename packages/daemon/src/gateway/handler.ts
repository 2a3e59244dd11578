/** Answers callers whose requests are routed by host and path. */
import type { ServerResponse } from "node:http";
import { asId, notRun, type Observer, type Refusal } from "@teaselvalve/core";
import type {
  AnswerHead,
  AnswerSink,
  AttemptId,
  EndpointAnswer,
  Route,
  RoutedOutcome,
  RoutedRequest,
  Router,
} from "@teaselvalve/core/routing";
import { type Exchange, readBytes } from "../http/exchange.ts";
import { sendProblem } from "../http/problem.ts";
import type { EndpointProtocol } from "./protocol.ts";

/** Options of {@link createGatewayHandler}. */
export interface GatewayHandlerOptions {
  router: Router;
  protocol: EndpointProtocol;
  observer: Observer;
  /** Writes the time after which to come back. */
  formatRetryAfter: (retryAfterMs: number) => string;
  /** Resolves once requests can be served, or after a short while. */
  waitReady: () => Promise<void>;
  /** True once new requests are refused. */
  refusesWork: () => boolean;
  /** Told of each request's begin; the function returned tells of its end. */
  track: () => () => void;
}

/** Body limit before a routing table gives one. */
const DEFAULT_BODY_LIMIT_BYTES = 1_048_576;
const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;

/** Handles requests of callers. */
export function createGatewayHandler(
  options: GatewayHandlerOptions,
): (exchange: Exchange) => Promise<void> {
  return async (exchange) => {
    const end = options.track();
    try {
      await answer(exchange, options);
    } finally {
      end();
    }
  };
}

async function answer(
  exchange: Exchange,
  options: GatewayHandlerOptions,
): Promise<void> {
  const { incoming } = exchange;
  const receivedAtMs = performance.now();
  const { router, protocol } = options;
  const fields = protocol.readCallerHeaders(incoming.headers);
  exchange.logFields.attempt = fields.attemptId ?? undefined;
  const refuse = (refusal: Refusal) =>
    refuseRequest(exchange, { options, refusal });
  await options.waitReady();
  const limits = router.table?.limits;
  if (limits && headerBytes(incoming.rawHeaders) > limits.headerBytes) {
    return refuse(notRun("headers-too-large"));
  }
  const route = router.match(
    hostOf(incoming.headers.host),
    incoming.url ?? "/",
  );
  if (!("prefix" in route)) return refuse(route);
  exchange.logFields.route = route.name;
  exchange.logFields.table = router.table?.version;
  if (options.refusesWork()) {
    return refuse(notRun("stopping", { retryAfterMs: 50 }));
  }
  if (fields.attemptId === null) {
    return refuse(notRun("bad-request", { detail: "The request has no id" }));
  }
  const body = await readBytes(
    incoming,
    limits?.bodyBytes ?? DEFAULT_BODY_LIMIT_BYTES,
  );
  if (body.isErr()) return refuse(body.error);
  const request: RoutedRequest = {
    id: asId<AttemptId>(fields.attemptId),
    method: incoming.method ?? "GET",
    host: incoming.headers.host ?? "",
    target: incoming.url ?? "/",
    rawHeaders: incoming.rawHeaders,
    body: body.value,
    receivedAtMs,
    callerTimeoutMs: fields.timeoutMs,
    lastEventId: fields.lastEventId,
    prompt: fields.prompt,
  };
  const end = await run(exchange, { request, route, options });
  finish(exchange, { end, options });
}

async function run(
  { response, logFields: fields }: Exchange,
  { request, route, options }: {
    request: RoutedRequest;
    route: Route;
    options: GatewayHandlerOptions;
  },
): Promise<RoutedOutcome> {
  const left = new AbortController();
  const onClose = () => {
    if (response.writableFinished) return;
    fields.callerLeft = true;
    left.abort();
  };
  response.once("close", onClose);
  if (response.destroyed) left.abort();
  const sink = createSink(response);
  return await options.router.handle(request, {
    route,
    sink,
    signal: left.signal,
  });
}

function finish(
  exchange: Exchange,
  { end, options }: { end: RoutedOutcome; options: GatewayHandlerOptions },
): void {
  const { response, logFields: fields } = exchange;
  fields.end = end.kind;
  switch (end.kind) {
    case "answered":
      return sendAnswer(response, end.answer);
    case "complete":
      return void response.end();
    case "refused":
      return refuseRequest(exchange, { options, refusal: end.refusal });
    case "broken":
      fields.reason = end.reason;
      options.observer.count("broken_streams", end.reason);
      // An answer that was cut must not look complete.
      return void response.destroy();
  }
}

function refuseRequest(
  { response, logFields: fields }: Exchange,
  { options, refusal }: { options: GatewayHandlerOptions; refusal: Refusal },
): void {
  fields.reason = refusal.reason;
  fields.verdict = refusal.kind;
  options.observer.count("refusals", refusal.reason);
  sendProblem(response, refusal, {
    formatRetryAfter: options.formatRetryAfter,
  });
}

function sendAnswer(response: ServerResponse, answer: EndpointAnswer): void {
  if (response.destroyed) return;
  const bodiless = answer.status === STATUS_NO_CONTENT ||
    answer.status === STATUS_NOT_MODIFIED || response.req.method === "HEAD";
  const headers = bodiless
    ? answer.headers
    : [...withoutLength(answer), lengthOf(answer)];
  response.writeHead(answer.status, flat(headers));
  response.end(bodiless ? undefined : answer.body);
}

function createSink(response: ServerResponse): AnswerSink {
  return {
    head: (head) => {
      if (response.destroyed) return;
      response.writeHead(head.status, flat(withoutLength(head)));
      response.flushHeaders();
    },
    write: (bytes) => response.destroyed || response.write(bytes),
    onDrain: (listener) => void response.once("drain", listener),
  };
}

// A stream may take several sends, so that the first one's length does not hold.
function withoutLength(head: AnswerHead): [string, string][] {
  return head.headers.filter(([name]) => name !== "content-length");
}

function lengthOf(answer: EndpointAnswer): [string, string] {
  return ["content-length", String(answer.body.length)];
}

function flat(headers: readonly (readonly [string, string])[]): string[] {
  return headers.flatMap(([name, value]) => [name, value]);
}

function hostOf(host: string | undefined): string {
  const name = (host ?? "").toLowerCase();
  const portAt = name.lastIndexOf(":");
  return portAt > 0 ? name.slice(0, portAt) : name;
}

function headerBytes(rawHeaders: readonly string[]): number {
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0);
}
