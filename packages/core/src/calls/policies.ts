/** Decisions about claims and sends, as functions that tests can replace one by one. */
import type { SendFailure } from "../ports/services.ts";
import type { Claim } from "./types.ts";

/** State of a call directly before it is sent. */
export interface SendFacts {
  readonly callerDisconnected: boolean;
  readonly remainingMs: number;
  /** Time since the event loop was last seen to run. */
  readonly eventLoopLagMs: number;
}

/** Whether a call may be sent now. `recheck`: pending events have to be processed first. */
export type SendDecision = "send" | "recheck" | "caller-gone" | "too-late";

/** This VM's local view of another VM's claim. */
export interface ClaimFacts {
  readonly claim: Claim;
  /** Membership confirmed that the claimant's incarnation has ended. */
  readonly claimantLost: boolean;
  /** The claimant replied to the last poll. */
  readonly claimantResponded: boolean;
}

/**
 * How to handle another VM's claim: poll the claimant, or close the row with an
 * unknown outcome or as released.
 */
export type ClaimDecision = "ask" | "mark-unknown" | "release";

/** Decisions of calls, see {@link CALL_POLICIES}. */
export interface CallPolicies {
  /** Whether the claim's write must be confirmed before the first byte is sent. */
  readonly claimsBeforeSend: () => boolean;
  /** Returns the token of a write's next attempt, by the number of earlier attempts. */
  readonly retryToken: (token: string, attempt: number) => string;
  /** Decides directly before a send whether the call may be sent. */
  readonly checkSend: (facts: SendFacts) => SendDecision;
  /** Decides how to handle another VM's claim. */
  readonly decideClaim: (facts: ClaimFacts) => ClaimDecision;
  /** Whether another replica may be tried after a failure. */
  readonly mayTryAnotherReplica: (failure: SendFailure) => boolean;
  /**
   * Minimum time between commits of one VM, once its burst is used up; `liveVms`
   * counts the VMs of all regions.
   */
  readonly commitIntervalMs: (liveVms: number) => number;
}

/** A longer lag means that the VM was frozen. */
const MAX_EVENT_LOOP_LAG_MS = 500;
/**
 * Connecting and sending to a service of the region takes up to this; a call
 * sent with less time left would run late.
 */
const MIN_SEND_MS = 25;
/** Commits to the table service that calls may use, summed over all VMs. */
const CALL_COMMITS_PER_SECOND = 270;
const MAX_COMMIT_INTERVAL_MS = 200;

/** The policies used in production. */
export const CALL_POLICIES: CallPolicies = {
  claimsBeforeSend: () => true,
  retryToken: (token) => token,
  checkSend({ callerDisconnected, remainingMs, eventLoopLagMs }) {
    if (remainingMs < MIN_SEND_MS) return "too-late";
    if (callerDisconnected) return "caller-gone";
    return eventLoopLagMs > MAX_EVENT_LOOP_LAG_MS ? "recheck" : "send";
  },
  decideClaim: ({ claimantLost }) => claimantLost ? "mark-unknown" : "ask",
  mayTryAnotherReplica: (failure) => failure.kind === "notSent",
  commitIntervalMs: (liveVms) =>
    Math.min(
      MAX_COMMIT_INTERVAL_MS,
      1_000 * Math.max(1, liveVms) / CALL_COMMITS_PER_SECOND,
    ),
};
