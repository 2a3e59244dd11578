/** HTTP handler of the administration interface. */
import { digest, notRun, type Refusal } from "@teaselvalve/core";
import {
  bearerToken,
  type Exchange,
  parseJson,
  readBody,
  sendJson,
  sendText,
} from "../http/exchange.ts";
import { sendProblem } from "../http/problem.ts";
import { listAdminRoutes } from "./app.ts";
import { authenticateAdmin } from "./authenticate.ts";
import { createRouter } from "./router.ts";
import {
  type AdminContext,
  type AdminPrincipal,
  configurationOf,
  satisfiesRole,
} from "./types.ts";

/** Options of {@link createAdminHandler}. */
export interface AdminHandlerOptions extends AdminContext {
  /** The first administrator's token. */
  adminToken: string;
  bodyLimitBytes: number;
}

/** Creates the handler for operator requests; `/metrics` needs no token. */
export function createAdminHandler(options: AdminHandlerOptions) {
  const router = createRouter(listAdminRoutes(options));
  const adminTokenHash = digest(options.adminToken);
  const { metrics, observer } = options;
  return async (exchange: Exchange): Promise<void> => {
    const { incoming, response, url } = exchange;
    const refuse = (refusal: Refusal) => {
      observer.count("refusals", refusal.reason);
      sendProblem(response, refusal);
    };
    if (url.pathname === "/metrics") {
      const text = await metrics.registry.metrics();
      return sendText(response, text, metrics.registry.contentType);
    }
    const principal = authenticateAdmin(bearerToken(incoming), {
      configuration: configurationOf(options),
      adminTokenHash,
    });
    if (!principal) return refuse(notRun("unauthenticated"));
    const matched = router(incoming.method ?? "GET", url.pathname);
    if (!matched) return refuse(notRun("not-found"));
    const { route, params } = matched;
    if (!satisfiesRole(principal.role, route.minimumRole)) {
      return refuse(notRun("forbidden"));
    }
    const body = await readJson(exchange, options.bodyLimitBytes);
    if (body.isErr()) return refuse(body.error);
    const verdict = await route.handle({
      principal,
      params,
      query: url.searchParams,
      body: body.value,
    });
    if (incoming.method !== "GET") logCommand(options, { exchange, principal });
    if (verdict.isErr()) return refuse(verdict.error);
    sendJson(response, verdict.value.body, verdict.value.status);
  };
}

async function readJson(exchange: Exchange, limitBytes: number) {
  const body = await readBody(exchange.incoming, limitBytes);
  return body.andThen((text) =>
    text === "" ? body.map(() => undefined as unknown) : parseJson(text)
  );
}

function logCommand(
  { observer }: AdminContext,
  details: { exchange: Exchange; principal: AdminPrincipal },
): void {
  const { exchange, principal } = details;
  observer.log({
    event: "admin-command",
    request: exchange.id,
    by: principal.name,
    method: exchange.incoming.method,
    path: exchange.url.pathname,
  });
}
