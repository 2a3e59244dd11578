/** Describes each reason for which a request is refused or cut off. */
import type { MayHaveRunReason, NotRunReason } from "@teaselvalve/core";

/** Reasons for a refusal or for an incomplete response. */
export type Reason = NotRunReason | MayHaveRunReason;

const MEANINGS: Readonly<Record<Reason, string>> = {
  "already-answered": "the request had already been answered",
  "answer-unavailable": "it ran, but its answer could not be fetched",
  "bad-request": "the request was malformed",
  "body-too-large": "the body exceeds the configured limit",
  cancelled: "the caller disconnected or cancelled it",
  "claimant-lost": "the VM that had claimed it was lost",
  "connection-lost":
    "the connection to the endpoint ended before the response was complete",
  convicted:
    "the request is quarantined because it has crashed endpoints before",
  "endpoint-limited":
    "all endpoints that could run it have used up the limits that they name",
  quarantined:
    "the request, or a part of its prompt, is quarantined because it has crashed endpoints before",
  "cut-by-stop": "the VM stopped before the response was complete",
  "deadline-passed": "its deadline passed",
  "deadline-unreachable": "no endpoint could have answered by its deadline",
  "endpoint-refused": "the endpoint refused it without running it",
  "endpoint-timeout": "the endpoint didn't answer in time",
  "engine-crashed": "the engine that ran it crashed",
  forbidden: "the caller is not allowed to do this",
  "headers-too-large": "the headers exceed the configured limit",
  "in-progress-elsewhere": "another attempt under its key was in progress",
  "internal-error":
    "an internal error occurred in the VM; its log has the error",
  "key-expired": "its idempotency key has expired",
  "key-reused": "its idempotency key belongs to another request",
  "missing-idempotency-key": "it has no idempotency key",
  "model-not-allowed": "the workspace is not allowed to use this model",
  "no-capacity": "no endpoint had free capacity for it in time",
  "no-configuration": "the VM had no configuration yet",
  "overloaded": "The VM had more requests than it can begin in time",
  "no-memory":
    "the VM had no memory for it, beside the requests that it had accepted",
  "no-endpoint": "no endpoint of its service could be reached",
  "no-links":
    "the VM lost its links to the endpoints, and no other VM took the request",
  "not-found": "no route matches its host and path",
  "not-resumable": "its route's streams can't be resumed",
  "origin-unknown":
    "no reachable VM knew which software version began the resumed stream",
  "quota-exceeded": "the workspace has exceeded its quota",
  "request-timeout": "the caller didn't send the whole request in time",
  "retry-budget-spent": "the retry budget was used up",
  "slow-reader": "the caller read its answer too slowly",
  "store-unavailable": "the platform's store didn't answer",
  stopping: "the VM was stopping",
  superseded: "a newer connection has taken over the stream",
  "suspect-busy":
    "an isolated run of the suspected request could not start in time",
  "too-many-connections": "the VM had too many connections",
  unauthenticated: "the token is unknown",
  "unverified-key":
    "the VM could not find out whether a newer configuration has the key",
  "unknown-model": "no model of this name is served",
  "version-unavailable":
    "no endpoint of the software version that began the stream accepts work",
};

/** Describes a reason in words; returns an unknown reason unchanged. */
export function describeReason(reason: string): string {
  return MEANINGS[reason as Reason] ?? reason;
}
