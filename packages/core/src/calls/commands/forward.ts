/**
 * Sends a call that may be repeated, and retries it within its deadline and
 * retry budget.
 */
import { err, ok } from "neverthrow";
import type { Endpoint, Service } from "../../configuration/types.ts";
import type { EndpointId } from "../../common/ids.ts";
import type { SendFailure } from "../../ports/services.ts";
import { backOffMs, type RetryBudget } from "../../retries/budget.ts";
import { mayHaveRun, notRun, type Refusal } from "../../common/verdict.ts";
import type { VmContext } from "../../vm/types.ts";
import type { CallRequest, CallVerdict } from "../types.ts";

/** Options of {@link forwardCall}. */
export interface ForwardOptions {
  call: CallRequest;
  service: Service;
  retries: RetryBudget;
  chooseEndpoint: (tried: ReadonlySet<EndpointId>) => Endpoint | undefined;
  /** Called with each replica that could not be connected to. */
  onUnreachable: (endpoint: EndpointId) => void;
}

/**
 * Forwards a call that may run more than once. Tries another replica until one
 * answers, the deadline passes, no replica is left or the retry budget is spent.
 */
export async function forwardCall(
  context: VmContext,
  options: ForwardOptions,
): Promise<CallVerdict> {
  const { call, service, retries } = options;
  const tried = new Set<EndpointId>();
  let refusal: Refusal = notRun("no-endpoint");
  for (let attempt = 1;; attempt += 1) {
    const remainingMs = call.deadlineAtMs - Date.now();
    if (remainingMs <= 0) return err(deadlineRefusal(refusal));
    const endpoint = options.chooseEndpoint(tried);
    if (!endpoint) return err(refusal);
    const { method, path, contentType, body } = call;
    const sent = await context.ports.services.call(
      endpoint,
      { method, path, contentType, body, key: "" },
      { timeoutMs: Math.min(service.timeoutMs, remainingMs) },
    );
    if (sent.isOk()) return ok({ ...sent.value, replayed: false });
    tried.add(endpoint.id);
    refusal = mergeRefusal(refusal, sent.error);
    if (sent.error.kind === "notSent") {
      options.onUnreachable(endpoint.id);
      continue;
    }
    if (!retries.take(call.workspace, "connection-lost")) return err(refusal);
    const remainingAfterMs = call.deadlineAtMs - Date.now();
    const pauseMs = backOffMs(attempt, { random: context.random });
    await new Promise((resolve) =>
      setTimeout(resolve, Math.max(0, Math.min(pauseMs, remainingAfterMs)))
    );
  }
}

// Once an attempt may have run, the refusal must say so whatever later attempts return.
function mergeRefusal(before: Refusal, failure: SendFailure): Refusal {
  if (before.kind === "mayHaveRun") return before;
  if (failure.kind === "notSent") return notRun("endpoint-refused");
  return mayHaveRun(
    failure.kind === "timeout" ? "endpoint-timeout" : "connection-lost",
  );
}

function deadlineRefusal(refusal: Refusal): Refusal {
  return refusal.kind === "mayHaveRun" ? refusal : notRun("deadline-passed");
}
