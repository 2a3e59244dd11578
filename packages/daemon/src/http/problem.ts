/** Sends refusals as `application/problem+json`. */
import { Buffer } from "node:buffer";
import { type ServerResponse, STATUS_CODES } from "node:http";
import type { NotRunReason, Refusal } from "@teaselvalve/core";

const STATUS_BY_REASON: Partial<Record<NotRunReason, number>> = {
  "bad-request": 400,
  "body-too-large": 413,
  "headers-too-large": 431,
  "request-timeout": 408,
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
const INTERNAL_ERROR_STATUS = 500;
const PROBLEM_TYPE = "application/problem+json";

// Retrying these would only cancel the newer request or return the same response.
const DO_NOT_RETRY = new Set<Refusal["reason"]>([
  "superseded",
  "already-answered",
  "cancelled",
  "not-resumable",
]);

/** The problem document that a caller receives for a refusal. */
export interface ProblemBody {
  readonly type: string;
  readonly title: string;
  readonly status: number;
  readonly verdict: Refusal["kind"];
  readonly reason: Refusal["reason"];
  readonly detail?: string;
  readonly retryAfterMs?: number;
  readonly earlierAttempts?: "unknown";
}

/** Builds the problem document of a refusal, including its HTTP status. */
export function problemOf(refusal: Refusal): ProblemBody {
  const status = refusal.kind === "notRun"
    ? STATUS_BY_REASON[refusal.reason] ?? NOT_RUN_STATUS
    : refusal.reason === "internal-error"
    ? INTERNAL_ERROR_STATUS
    : MAY_HAVE_RUN_STATUS;
  return {
    type: `urn:teaselvalve:refusal:${refusal.reason}`,
    title: refusal.reason.replaceAll("-", " "),
    status,
    verdict: refusal.kind,
    reason: refusal.reason,
    ...(refusal.detail ? { detail: refusal.detail } : {}),
    ...(refusal.kind === "notRun"
      ? {
        retryAfterMs: refusal.retryAfterMs,
        ...(refusal.earlierAttempts
          ? { earlierAttempts: refusal.earlierAttempts }
          : {}),
      }
      : {}),
  };
}

/** Options of {@link sendProblem}. */
export interface SendProblemOptions {
  /** The document to send; by default, the one from {@link problemOf}. */
  problem?: ProblemBody;
  /** Formats the `retry-after` header; whole seconds by default. */
  formatRetryAfter?: (retryAfterMs: number) => string;
}

/** Sends a refusal, unless the response has already begun or been closed. */
export function sendProblem(
  response: ServerResponse,
  refusal: Refusal,
  options: SendProblemOptions = {},
): void {
  const { problem = problemOf(refusal), formatRetryAfter = toWholeSeconds } =
    options;
  const headers: Record<string, string> = {
    "content-type": PROBLEM_TYPE,
  };
  if (refusal.kind === "notRun") {
    headers["retry-after"] = formatRetryAfter(refusal.retryAfterMs);
  }
  if (DO_NOT_RETRY.has(refusal.reason)) headers["x-should-retry"] = "false";
  // The caller may have disconnected, or the response may have begun.
  if (response.headersSent || response.destroyed) return;
  const body = JSON.stringify(problem);
  // Without it, the body would be sent in chunks.
  headers["content-length"] = String(Buffer.byteLength(body));
  response.writeHead(problem.status, headers);
  response.end(body);
}

/** Formats the time of a `retry-after` header in whole seconds, at least 1. */
export function toWholeSeconds(retryAfterMs: number): string {
  return String(Math.max(1, Math.ceil(retryAfterMs / 1_000)));
}

/** Options of {@link formatRawProblem}. */
export interface RawProblemOptions {
  /** The status of the response; by default that of the refusal. */
  status?: number;
  /** Formats the `retry-after` header; there is none by default. */
  formatRetryAfter?: (retryAfterMs: number) => string;
  /** Whether the connection stays open; it is closed by default. */
  keepsOpen?: boolean;
  /** Whether the request asked for the head alone. */
  isHead?: boolean;
}

/** Formats a complete HTTP response for a connection without a readable request. */
export function formatRawProblem(
  refusal: Refusal,
  {
    status = problemOf(refusal).status,
    formatRetryAfter,
    keepsOpen = false,
    isHead = false,
  }: RawProblemOptions = {},
): string {
  const body = JSON.stringify({ ...problemOf(refusal), status });
  const retryAfter = refusal.kind === "notRun" && formatRetryAfter
    ? [`Retry-After: ${formatRetryAfter(refusal.retryAfterMs)}`]
    : [];
  return [
    `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
    ...retryAfter,
    `Content-Type: ${PROBLEM_TYPE}`,
    `Content-Length: ${Buffer.byteLength(body)}`,
    `Connection: ${keepsOpen ? "keep-alive" : "close"}`,
    "",
    isHead ? "" : body,
  ].join("\r\n");
}
