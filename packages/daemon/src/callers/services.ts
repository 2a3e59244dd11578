/** Handles calls to plain services. */
import {
  asId,
  type CallRequest,
  type RequestId,
  type ServiceName,
} from "@teaselvalve/core";
import { type Exchange, header, readBody } from "../http/exchange.ts";
import type { CallerContext } from "./context.ts";
import { deadlineOf } from "./handler.ts";

const PATH_PREFIX = "/v1/services/";
/** Added to the service's timeout, for claiming the call first. */
const CLAIM_ALLOWANCE_MS = 5_000;

/** Forwards `/v1/services/NAME/...` to the service NAME. */
export async function handleServiceCall(
  exchange: Exchange,
  context: CallerContext,
): Promise<void> {
  const { incoming, response, url } = exchange;
  const body = await readBody(incoming, context.bodyLimitBytes);
  if (body.isErr()) return context.refuse(body.error);
  const [name = "", ...rest] = url.pathname.slice(PATH_PREFIX.length).split(
    "/",
  );
  const key = header(incoming, "idempotency-key");
  const { deployment } = context.vm.configuration.current()!.bodies;
  const service = deployment.services.find((entry) => entry.name === name);
  const defaultMs = (service?.timeoutMs ?? 0) + CLAIM_ALLOWANCE_MS;
  const call: CallRequest = {
    workspace: context.principal.workspace.id,
    caller: context.principal.caller,
    request: key === undefined ? null : asId<RequestId>(key),
    service: asId<ServiceName>(name),
    method: incoming.method ?? "GET",
    path: `/${rest.join("/")}${url.search}`,
    contentType: header(incoming, "content-type") ?? "",
    body: body.value,
    deadlineAtMs: deadlineOf(exchange, defaultMs),
  };
  const verdict = await context.vm.gate.submitCall(call, {
    isDisconnected: () => response.destroyed || response.closed,
  });
  if (response.destroyed) return;
  if (verdict.isErr()) return context.refuse(verdict.error);
  const answer = verdict.value;
  response.writeHead(answer.status, {
    "content-type": answer.contentType,
    ...(answer.replayed ? { "idempotency-replayed": "true" } : {}),
  });
  response.end(answer.body);
}
