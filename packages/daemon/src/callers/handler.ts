/** The caller interface: addresses, summaries and calls to plain services. */
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

/** What the caller interface needs. */
export interface CallerHandlerOptions {
  vm: Vm;
  observer: Observer;
  bodyLimitBytes: number;
}

type Refuse = CallerContext["refuse"];

const COMPLETIONS = new Set(["/v1/completions", "/v1/chat/completions"]);
const SERVICES = "/v1/services/";
const KEY_PATTERN = /^[\x21-\x7e]{1,200}$/;

/** Answers callers. */
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
      const build = COMPLETIONS.has(url.pathname)
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
    const answers = { configuration, refuse, sendRefusal };
    await answerCaller(exchange, { ...options, ...answers });
  };
}

/** Reads the deadline that a caller gives, or takes the deployment's. */
export function deadlineOf(
  exchange: Exchange,
  defaultMs: number,
): number {
  const given = Number(header(exchange.incoming, "request-timeout-ms"));
  const timeoutMs = Number.isFinite(given) && given > 0
    ? Math.min(given, defaultMs)
    : defaultMs;
  return Date.now() + timeoutMs;
}

function sendAddresses(
  { incoming, response, url }: Exchange,
  options: { vm: Vm; configuration: Configuration },
): void {
  const wanted = url.searchParams.get("data_centre") as DataCentre | null;
  const { remoteAddress, remotePort } = incoming.socket;
  const answer = listAddresses(options.vm.membership, {
    dataCentre: wanted ?? undefined,
    spreadBy: `${remoteAddress}:${remotePort}`,
    ttlMs: options.configuration.bodies.deployment.addressTtlMs,
  });
  sendJson(response, answer);
}

async function answerCaller(
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
  // A slow reader's answer is in progress until its last byte is out.
  exchange.response.once("close", options.vm.inProgress.track());
  exchange.logFields.workspace = principal.workspace.id;
  exchange.logFields.caller = principal.caller;
  const isCompletion = COMPLETIONS.has(url.pathname) &&
    incoming.method === "POST";
  const isCall = url.pathname.startsWith(SERVICES);
  if (!isCompletion && !isCall) return refuse(notRun("not-found"));
  const wellFormed = nameRequest(exchange, { madeUp: isCompletion });
  if (!wellFormed) {
    const detail = "Idempotency-Key takes 1 to 200 visible ASCII characters";
    return refuse(notRun("bad-request", { detail }));
  }
  const context = { ...options, principal, refuse };
  if (isCompletion) await handleCompletion(exchange, context);
  else await handleServiceCall(exchange, context);
}

/**
 * Checks the key that names the request and sends it back. A summary without
 * one gets one, so that its caller can resume it; a call may not have it made up,
 * as its caller could not repeat it safely. Answers whether the key is well-formed.
 */
function nameRequest(
  { incoming, response, logFields: fields }: Exchange,
  options: { madeUp: boolean },
): boolean {
  const given = header(incoming, "idempotency-key");
  const key = given ?? (options.madeUp ? randomUUID() : undefined);
  if (key === undefined) return true;
  if (!KEY_PATTERN.test(key)) return false;
  incoming.headers["idempotency-key"] = key;
  response.setHeader("idempotency-key", key);
  fields.key = key;
  return true;
}
