/** HTTP handler of the caller interface: addresses, summaries and service calls. */
import { randomUUID } from "node:crypto";
import {
  type Configuration,
  type DataCentre,
  listAddresses,
  notRun,
  type Observer,
  type Refusal,
  type Vm,
} from "@teaselvalve/core";
import {
  bearerToken,
  type Exchange,
  header,
  sendJson,
} from "../http/exchange.ts";
import { problemOf, sendProblem } from "../http/problem.ts";
import { authenticateCaller } from "./authenticate.ts";
import { handleCompletion } from "./completions.ts";
import type { CallerContext } from "./context.ts";
import { completionProblem } from "./openai.ts";
import { handleServiceCall } from "./services.ts";

/** Options of {@link createCallerHandler}. */
export interface CallerHandlerOptions {
  vm: Vm;
  observer: Observer;
  bodyLimitBytes: number;
}

type Refuse = CallerContext["refuse"];

const COMPLETION_PATHS = new Set(["/v1/completions", "/v1/chat/completions"]);
const SERVICES_PREFIX = "/v1/services/";
const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Creates the handler for caller requests. */
export function createCallerHandler(options: CallerHandlerOptions) {
  return async (exchange: Exchange): Promise<void> => {
    const { vm } = options;
    const { response, url } = exchange;
    const sendRefusal = (refusal: Refusal) => {
      exchange.logFields.verdict = refusal.kind;
      exchange.logFields.reason = refusal.reason;
      if (vm.refusesWork && !response.headersSent) {
        response.setHeader("connection", "close");
      }
      const build = COMPLETION_PATHS.has(url.pathname)
        ? completionProblem
        : problemOf;
      sendProblem(response, refusal, { problem: build(refusal) });
    };
    const refuse = (refusal: Refusal) => {
      options.observer.count("refusals", refusal.reason);
      sendRefusal(refusal);
    };
    if (url.pathname === "/health/live") return sendJson(response, "live");
    const configuration = vm.configuration.current();
    if (!configuration) return refuse(notRun("no-configuration"));
    if (url.pathname === "/health/ready") {
      if (vm.refusesWork) return refuse(notRun("stopping"));
      return sendJson(response, "ready");
    }
    if (url.pathname === "/v1/addresses") {
      return sendAddresses(exchange, { vm, configuration });
    }
    const perRequest = { configuration, refuse, sendRefusal };
    await dispatchRequest(exchange, { ...options, ...perRequest });
  };
}

/**
 * Returns the deadline of a request in Unix milliseconds. A caller may shorten
 * the default timeout with the `Request-Timeout-Ms` header.
 */
export function deadlineOf(
  exchange: Exchange,
  defaultMs: number,
): number {
  const requestedMs = Number(header(exchange.incoming, "request-timeout-ms"));
  const timeoutMs = Number.isFinite(requestedMs) && requestedMs > 0
    ? Math.min(requestedMs, defaultMs)
    : defaultMs;
  return Date.now() + timeoutMs;
}

function sendAddresses(
  { incoming, response, url }: Exchange,
  options: { vm: Vm; configuration: Configuration },
): void {
  const dataCentre = url.searchParams.get("data_centre") as DataCentre | null;
  const { remoteAddress, remotePort } = incoming.socket;
  const answer = listAddresses(options.vm.membership, {
    dataCentre: dataCentre ?? undefined,
    spreadBy: `${remoteAddress}:${remotePort}`,
    ttlMs: options.configuration.bodies.deployment.addressTtlMs,
  });
  sendJson(response, answer);
}

async function dispatchRequest(
  exchange: Exchange,
  options: CallerHandlerOptions & {
    configuration: Configuration;
    refuse: Refuse;
    sendRefusal: Refuse;
  },
): Promise<void> {
  const { incoming, url } = exchange;
  const { refuse } = options;
  const principal = authenticateCaller(
    options.configuration,
    bearerToken(incoming),
  );
  if (!principal) return refuse(notRun("unauthenticated"));
  // The request stays in progress until the last byte is sent, even to a slow reader.
  exchange.response.once("close", options.vm.inProgress.track());
  exchange.logFields.workspace = principal.workspace.id;
  exchange.logFields.caller = principal.caller;
  const isCompletion = COMPLETION_PATHS.has(url.pathname) &&
    incoming.method === "POST";
  const isCall = url.pathname.startsWith(SERVICES_PREFIX);
  if (!isCompletion && !isCall) return refuse(notRun("not-found"));
  const wellFormed = applyKey(exchange, { generate: isCompletion });
  if (!wellFormed) {
    const detail = "Idempotency-Key takes 1 to 200 visible ASCII characters";
    return refuse(notRun("bad-request", { detail }));
  }
  const context = { ...options, principal, refuse };
  if (isCompletion) await handleCompletion(exchange, context);
  else await handleServiceCall(exchange, context);
}

/**
 * Validates the idempotency key and returns it in the response headers. A summary
 * without a key gets a generated one, so its caller can resume it. Calls get none,
 * because a caller that never saw the key could not retry safely. Returns whether
 * the key is well-formed.
 */
function applyKey(
  { incoming, response, logFields: fields }: Exchange,
  options: { generate: boolean },
): boolean {
  const given = header(incoming, "idempotency-key");
  const key = given ?? (options.generate ? randomUUID() : undefined);
  if (key === undefined) return true;
  if (!KEY_PATTERN.test(key)) return false;
  incoming.headers["idempotency-key"] = key;
  response.setHeader("idempotency-key", key);
  fields.key = key;
  return true;
}
