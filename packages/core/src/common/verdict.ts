/** Verdicts say whether a request may have run. Every refusal and failure carries one. */
import { err, type Result } from "neverthrow";

/** Why a request was not run. Each has a counter. */
export const NOT_RUN_REASONS = [
  "bad-request",
  "body-too-large",
  "headers-too-large",
  "request-timeout",
  "unauthenticated",
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
  "endpoint-refused",
  "convicted",
  "suspect-busy",
  "stopping",
  "superseded",
  "cancelled",
  "already-answered",
  "too-many-connections",
] as const;

/** Why it isn't known whether a request ran. Each has a counter. */
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
/** Why it isn't known whether a request ran. */
export type MayHaveRunReason = (typeof MAY_HAVE_RUN_REASONS)[number];

/** The request did not run and never will under this attempt. */
export interface NotRun {
  readonly kind: "notRun";
  readonly reason: NotRunReason;
  /** When the caller should come back. */
  readonly retryAfterMs: number;
  readonly detail?: string;
  /** Present where this attempt did not run, but nothing is known of earlier attempts under its key. */
  readonly earlierAttempts?: "unknown";
}

/** The request may have run, in part or whole. */
export interface MayHaveRun {
  readonly kind: "mayHaveRun";
  readonly reason: MayHaveRunReason;
  readonly detail?: string;
}

/** The final answer to a request that was not answered with its result. */
export type Refusal = NotRun | MayHaveRun;

/** The outcome of a request: its answer, or a refusal that says whether it may have run. */
export type Verdict<T> = Result<T, Refusal>;

/** Options of {@link notRun}. */
export interface NotRunOptions {
  retryAfterMs?: number;
  detail?: string;
  earlierAttempts?: "unknown";
}

/** Makes the refusal of a request that did not run. */
export function notRun(
  reason: NotRunReason,
  options: NotRunOptions = {},
): NotRun {
  return { kind: "notRun", reason, retryAfterMs: 1_000, ...options };
}

/** Makes the refusal of a request that may have run. */
export function mayHaveRun(
  reason: MayHaveRunReason,
  detail?: string,
): MayHaveRun {
  return { kind: "mayHaveRun", reason, ...(detail ? { detail } : {}) };
}

/** Makes a failed verdict of a refusal. */
export function refuse<T>(refusal: Refusal): Verdict<T> {
  return err(refusal);
}
