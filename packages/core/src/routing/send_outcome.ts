/** Applies the outcome of a send to the view of its endpoint. */
import type { Result } from "neverthrow";
import type { RoutingContext } from "./context.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { SendFailure } from "./port.ts";
import type { RoutedRequest } from "./types.ts";

/** How long an endpoint that refused a call for lack of capacity counts as full. */
const FULL_FOR_MS = 50;

/** Updates the endpoint's record and the crash tracker with the outcome of a send. */
export function noteOutcome(
  context: RoutingContext,
  { endpoint, request, outcome, tookMs, wasAnswering = false }: {
    endpoint: EndpointRecord;
    request: RoutedRequest;
    outcome: Result<unknown, SendFailure>;
    tookMs: number;
    /** Whether the endpoint had been answering for a while. */
    wasAnswering?: boolean;
  },
): void {
  const nowMs = performance.now();
  if (outcome.isOk()) return endpoint.noteSuccess(tookMs);
  const { error } = outcome;
  const { crashes } = context;
  const { entry } = endpoint;
  const isLinkLost = context.forwarding.isLost(entry.service);
  // An endpoint whose answer was cut hasn't crashed.
  if (error.kind === "lost" && !error.isCut && !isLinkLost) {
    crashes.noteLost(request, entry, { wasAnswering });
  }
  if (error.kind === "notSent" && error.refused) {
    void crashes.noteRefused(entry);
  }
  switch (error.kind) {
    case "limited":
      return endpoint.noteLimited(nowMs + error.retryAfterMs);
    case "aborted":
      return;
    case "notExecuted":
      return endpoint.noteFull(nowMs + FULL_FOR_MS);
    case "misdirected":
      // If the endpoint comes back, its next directory entry undoes this.
      return endpoint.setMissing(nowMs);
    case "restarted":
      return context.endpoints.noteRestarted(entry, error);
    default:
      if (!endpoint.noteFailure(nowMs)) return;
      context.observer.count("ejections", error.kind);
      context.observer.log({
        event: "endpoint-ejected",
        level: "warn",
        endpoint: entry.id,
        reason: error.kind,
        failures: endpoint.failuresInRow,
        forMs: Math.round(endpoint.ejectedUntilMs - nowMs),
      });
  }
}
