/** What a claimant decides, as functions, so that tests can take one away. */
import type { SendFailure } from "../ports/services.ts";
import type { Claim } from "./types.ts";

/** What is known directly before a call is sent. */
export interface SendFacts {
  readonly callerDisconnected: boolean;
  readonly remainingMs: number;
  /** Since the event loop was last seen to run. */
  readonly eventLoopLagMs: number;
}

/** Whether a call may be sent now. `recheck` lets pending events in first. */
export type SendDecision = "send" | "recheck" | "caller-gone" | "too-late";

/** What is known of another VM's claim. */
export interface ClaimFacts {
  readonly claim: Claim;
  /** Membership says that the claimant's incarnation is gone. */
  readonly claimantLost: boolean;
  /** The last question to the claimant was answered. */
  readonly claimantResponded: boolean;
}

/** What to do about another VM's claim. */
export type ClaimDecision = "ask" | "mark-unknown" | "release";

/** Decisions of calls. */
export interface CallPolicies {
  /** Whether the claim must stand before the first byte is sent. */
  readonly claimsBeforeSend: () => boolean;
  /** Gives the token with which a write is repeated after its reply was lost. */
  readonly retryToken: (token: string, attempt: number) => string;
  readonly checkSend: (facts: SendFacts) => SendDecision;
  readonly decideClaim: (facts: ClaimFacts) => ClaimDecision;
  /** Whether another replica may be tried after a failure. */
  readonly mayTryAnotherReplica: (failure: SendFailure) => boolean;
  /** Least time between the commits of one VM, once its burst is used up. */
  readonly commitIntervalMs: (liveVms: number) => number;
}

/** A longer gap means that the VM was frozen. */
const LOOP_GAP_LIMIT_MS = 500;
/** A new connection and the way to a service of the region take up to this; what is sent later runs late. */
const MIN_SEND_MS = 25;
/** The part of the table's writes that calls may use, over all VMs. */
const CALL_COMMITS_PER_SECOND = 270;
const MAX_COMMIT_INTERVAL_MS = 200;

/** The policies that a VM runs with. */
export const CALL_POLICIES: CallPolicies = {
  claimsBeforeSend: () => true,
  retryToken: (token) => token,
  checkSend(
    { callerDisconnected: callerGone, remainingMs, eventLoopLagMs: loopGapMs },
  ) {
    if (remainingMs < MIN_SEND_MS) return "too-late";
    if (callerGone) return "caller-gone";
    return loopGapMs > LOOP_GAP_LIMIT_MS ? "recheck" : "send";
  },
  decideClaim: ({ claimantLost: claimantGone }) =>
    claimantGone ? "mark-unknown" : "ask",
  mayTryAnotherReplica: (failure) => failure.kind === "notSent",
  commitIntervalMs: (liveVms) =>
    Math.min(
      MAX_COMMIT_INTERVAL_MS,
      1_000 * Math.max(1, liveVms) / CALL_COMMITS_PER_SECOND,
    ),
};
