/** The caller interface: addresses, summaries and calls to plain services. */
import {
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
import { sendProblem } from "../http/problem.ts";
import { authenticateCaller } from "./authenticate.ts";
import { handleCompletion } from "./completions.ts";
import { handleServiceCall } from "./services.ts";

/** What the caller interface needs. */
export interface CallerHandlerOptions {
  vm: Vm;
  observer: Observer;
  bodyLimitBytes: number;
}

/** Answers callers. */
export function createCallerHandler(options: CallerHandlerOptions) {
  return async (exchange: Exchange): Promise<void> => {
    const { vm } = options;
    const { incoming, response, url } = exchange;
    const refuse = (refusal: Refusal) => {
      options.observer.count("refusals", refusal.reason);
      if (vm.refusesWork) response.setHeader("connection", "close");
      sendProblem(response, refusal);
    };
    if (url.pathname === "/health/live") return sendJson(response, "live");
    const configuration = vm.configuration.current();
    if (!configuration) return refuse(notRun("no-configuration"));
    if (url.pathname === "/health/ready") {
      if (vm.refusesWork) return refuse(notRun("stopping"));
      return sendJson(response, "ready");
    }
    if (url.pathname === "/v1/addresses") {
      const wanted = url.searchParams.get("data_centre") as DataCentre | null;
      return sendJson(
        response,
        listAddresses(vm.membership, {
          dataCentre: wanted ?? undefined,
          spreadBy: incoming.socket.remoteAddress + ":" +
            incoming.socket.remotePort,
          ttlMs: configuration.bodies.deployment.addressTtlMs,
        }),
      );
    }
    const principal = authenticateCaller(configuration, bearerToken(incoming));
    if (!principal) return refuse(notRun("unauthenticated"));
    // A slow reader's answer is in progress until its last byte is out.
    response.once("close", vm.inProgress.track());
    const context = { ...options, principal, refuse };
    const isCompletion = url.pathname === "/v1/completions" ||
      url.pathname === "/v1/chat/completions";
    if (isCompletion) return await handleCompletion(exchange, context);
    if (url.pathname.startsWith("/v1/services/")) {
      return await handleServiceCall(exchange, context);
    }
    refuse(notRun("not-found"));
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
