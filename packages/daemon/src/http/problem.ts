/** Refusals as `application/problem+json`. */
import type { ServerResponse } from "node:http";
import type { NotRunReason, Refusal } from "@teaselvalve/core";

const STATUS_BY_REASON: Partial<Record<NotRunReason, number>> = {
  "bad-request": 400,
  "body-too-large": 413,
  "unauthenticated": 401,
  "forbidden": 403,
  "not-found": 404,
  "unknown-model": 404,
  "model-not-allowed": 403,
  "missing-idempotency-key": 400,
  "key-expired": 410,
  "key-reused": 422,
  "quota-exceeded": 429,
  "convicted": 422,
  "already-answered": 409,
  "superseded": 409,
};
const NOT_RUN_STATUS = 503;
const MAY_HAVE_RUN_STATUS = 504;

/** A refusal as callers see it. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly verdict: Refusal["kind"];
  readonly reason: Refusal["reason"];
  readonly detail?: string;
  readonly retryAfterMs?: number;
}

/** Builds the problem document of a refusal. */
export function problemOf(refusal: Refusal): ProblemBody {
  const status = refusal.kind === "notRun"
    ? STATUS_BY_REASON[refusal.reason] ?? NOT_RUN_STATUS
    : MAY_HAVE_RUN_STATUS;
  return {
    type: `urn:teaselvalve:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll("-", " "),
    status,
    verdict: refusal.kind,
    reason: refusal.reason,
    ...(refusal.detail ? { detail: refusal.detail } : {}),
    ...(refusal.kind === "notRun"
      ? { retryAfterMs: refusal.retryAfterMs }
      : {}),
  };
}

/** Answers a request with a refusal. */
export function sendProblem(response: ServerResponse, refusal: Refusal): void {
  const problem = problemOf(refusal);
  const headers: Record<string, string> = {
    "content-type": "application/problem+json",
  };
  if (refusal.kind === "notRun") {
    const seconds = Math.max(1, Math.ceil(refusal.retryAfterMs / 1_000));
    headers["retry-after"] = String(seconds);
  }
  response.writeHead(problem.status, headers);
  response.end(JSON.stringify(problem));
}
