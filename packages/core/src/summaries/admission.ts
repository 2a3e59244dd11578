/**
 * Obtains what an attempt needs before it starts: permission from the suspect
 * registry, which tracks requests that may crash engines, and a grant.
 */
import type { GrantRequest } from "../grants/types.ts";
import type { SuspectTracker } from "../suspects/tracker.ts";
import type { SuspectHash, SuspectRun } from "../suspects/types.ts";
import { notRun, type Refusal } from "../common/verdict.ts";
import type { GrantHold, GrantsClient } from "./grants_client.ts";

/** Result of the admission of an attempt. */
export type AdmissionOutcome =
  | {
    readonly kind: "granted";
    readonly hold: GrantHold;
    readonly suspect: SuspectRun | null;
  }
  /** The request is a suspect that can't run now. */
  | { readonly kind: "busy"; readonly retryAfterMs: number }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** No shard home answered. */
  | { readonly kind: "unanswered" };

/** Options of {@link admitAttempt}. */
export interface AdmissionOptions {
  suspects: SuspectTracker;
  grants: GrantsClient;
  suspectHash: SuspectHash;
  /** Whether the request is checked for earlier engine crashes. */
  checksSuspects: () => boolean;
  request: Omit<GrantRequest, "alone">;
}

/** Checks whether the request may run, and then requests a grant. */
export async function admitAttempt(
  options: AdmissionOptions,
): Promise<AdmissionOutcome> {
  if (!options.checksSuspects()) return await requestGrant(options, null);
  const admission = await options.suspects.admit(options.suspectHash);
  if (admission.kind === "busy") return admission;
  if (admission.kind === "convicted") {
    const { retryAfterMs } = admission;
    return { kind: "refused", refusal: notRun("convicted", { retryAfterMs }) };
  }
  const outcome = await requestGrant(options, admission.run);
  if (outcome.kind !== "granted") options.suspects.released(admission.run);
  return outcome;
}

/** Releases an admission that came too late to be used. */
export function releaseAdmission(
  outcome: AdmissionOutcome,
  options: AdmissionOptions,
): void {
  if (outcome.kind !== "granted") return;
  if (outcome.suspect) options.suspects.released(outcome.suspect);
  options.grants.reportProgress(outcome.hold, {
    kind: "ended",
    generatedTokens: 0,
  });
}

async function requestGrant(
  options: AdmissionOptions,
  suspect: SuspectRun | null,
): Promise<AdmissionOutcome> {
  const alone = suspect?.alone ?? false;
  const answer = await options.grants.requestGrant({
    ...options.request,
    alone,
  });
  if (!answer) return { kind: "unanswered" };
  if (answer.kind === "granted") {
    return { kind: "granted", hold: answer.hold, suspect };
  }
  const { reason, retryAfterMs } = answer;
  return { kind: "refused", refusal: notRun(reason, { retryAfterMs }) };
}
