/** Verdicts: outcomes of requests. A refusal says whether it may have run. */
import { err, type Result } from "neverthrow";

/** Reasons why a request was not run. Refusals are counted by reason. */
export const NOT_RUN_REASONS = [
  "bad-request",
  "body-too-large",
  "headers-too-large",
  "request-timeout",
  "unauthenticated",
  "unverified-key",
  "forbidden",
  "not-found",
  "unknown-model",
  "model-not-allowed",
  "missing-idempotency-key",
  "key-expired",
  "key-reused",
  "quota-exceeded",
  "retry-budget-spent",
  "no-capacity",
  "deadline-unreachable",
  "deadline-passed",
  "store-unavailable",
  "no-configuration",
  "no-endpoint",
  "no-links",
  "version-unavailable",
  "origin-unknown",
  "not-resumable",
  "endpoint-refused",
  "endpoint-limited",
  "convicted",
  "quarantined",
  "suspect-busy",
  "stopping",
  "superseded",
  "cancelled",
  "already-answered",
  "too-many-connections",
  "no-memory",
  "overloaded",
] as const;

/** Reasons why it is unknown whether a request ran; counted by reason too. */
export const MAY_HAVE_RUN_REASONS = [
  "claimant-lost",
  "answer-unavailable",
  "connection-lost",
  "endpoint-timeout",
  "superseded",
  "in-progress-elsewhere",
  "key-reused",
  "engine-crashed",
  "deadline-passed",
  "slow-reader",
  "internal-error",
  "cancelled",
  "cut-by-stop",
] as const;

/** Why a request was not run. */
export type NotRunReason = (typeof NOT_RUN_REASONS)[number];
/** Why it is unknown whether a request ran. */
export type MayHaveRunReason = (typeof MAY_HAVE_RUN_REASONS)[number];

/** The request did not run, and this attempt will not run it later. */
export interface NotRun {
  readonly kind: "notRun";
  readonly reason: NotRunReason;
  /** How long the caller should wait before it retries. */
  readonly retryAfterMs: number;
  readonly detail?: string;
  /** Present if it is unknown whether earlier attempts with this key ran. */
  readonly earlierAttempts?: "unknown";
}

/** The request may have run, completely or in part. */
export interface MayHaveRun {
  readonly kind: "mayHaveRun";
  readonly reason: MayHaveRunReason;
  readonly detail?: string;
}

/** The final answer to a request that has no result. */
export type Refusal = NotRun | MayHaveRun;

/** The outcome of a request: its result or a refusal. */
export type Verdict<T> = Result<T, Refusal>;

/** Options of {@link notRun}. */
export interface NotRunOptions {
  retryAfterMs?: number;
  detail?: string;
  earlierAttempts?: "unknown";
}

/** Creates the refusal of a request that did not run. Default retry: 1 s. */
export function notRun(
  reason: NotRunReason,
  options: NotRunOptions = {},
): NotRun {
  return { kind: "notRun", reason, retryAfterMs: 1_000, ...options };
}

/** Creates the refusal of a request that may have run. */
export function mayHaveRun(
  reason: MayHaveRunReason,
  detail?: string,
): MayHaveRun {
  return { kind: "mayHaveRun", reason, ...(detail ? { detail } : {}) };
}

/** Wraps a refusal in a verdict. */
export function refuse<T>(refusal: Refusal): Verdict<T> {
  return err(refusal);
}
