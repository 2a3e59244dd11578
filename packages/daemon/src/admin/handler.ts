/** The administration interface. */
import { notRun, type Vm } from "@teaselvalve/core";
import {
  bearerToken,
  type Exchange,
  parseJson,
  readBody,
  sendJson,
} from "../http/exchange.ts";
import { sendProblem } from "../http/problem.ts";
import type { Metrics } from "../observe/metrics.ts";
import { sameSecret } from "../peers/server.ts";

/** What the administration interface needs. */
export interface AdminHandlerOptions {
  vm: Vm;
  metrics: Metrics;
  adminToken: string;
  bodyLimitBytes: number;
}

const OUTCOME_STATUS = {
  accepted: 200,
  conflict: 409,
  invalid: 422,
  pending: 202,
  unknown: 504,
  unavailable: 503,
};

/** Answers operators. */
export function createAdminHandler(options: AdminHandlerOptions) {
  const { vm, metrics } = options;
  return async ({ incoming, response, url }: Exchange): Promise<void> => {
    if (url.pathname === "/metrics") {
      response.setHeader("content-type", metrics.registry.contentType);
      response.end(await metrics.registry.metrics());
      return;
    }
    if (!sameSecret(bearerToken(incoming) ?? "", options.adminToken)) {
      return sendProblem(response, notRun("unauthenticated"));
    }
    const route = `${incoming.method} ${url.pathname}`;
    switch (route) {
      case "POST /admin/manifests": {
        const body = await readBody(incoming, options.bodyLimitBytes);
        const json = body.andThen(parseJson);
        if (json.isErr()) return sendProblem(response, json.error);
        const outcome = await vm.configuration.submit(json.value);
        return sendJson(response, outcome, OUTCOME_STATUS[outcome.kind]);
      }
      case "GET /admin/configuration":
        return sendJson(response, vm.configuration.current());
      case "GET /admin/vms":
        return sendJson(response, vm.membership.members());
      default:
        return sendProblem(response, notRun("not-found"));
    }
  };
}
