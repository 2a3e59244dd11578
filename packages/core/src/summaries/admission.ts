/** Asks for all that an attempt needs before it starts: a free suspect's record and a grant. */
import type { GrantRequest } from "../grants/types.ts";
import type { SuspectTracker } from "../suspects/tracker.ts";
import type { SuspectHash, SuspectRun } from "../suspects/types.ts";
import { notRun, type Refusal } from "../common/verdict.ts";
import type { GrantHold, GrantsClient } from "./grants_client.ts";

/** What an attempt was told. */
export type AdmissionOutcome =
  | {
    readonly kind: "granted";
    readonly hold: GrantHold;
    readonly suspect: SuspectRun | null;
  }
  | { readonly kind: "busy"; readonly retryAfterMs: number }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** No home answered. */
  | { readonly kind: "unanswered" };

/** What {@link admitAttempt} asks. */
export interface AdmissionOptions {
  suspects: SuspectTracker;
  grants: GrantsClient;
  hash: SuspectHash;
  /** Whether requests that crash engines are told apart. */
  asksSuspects: () => boolean;
  request: Omit<GrantRequest, "alone">;
}

/** Asks whether the request may run, and then for a grant. */
export async function admitAttempt(
  options: AdmissionOptions,
): Promise<AdmissionOutcome> {
  if (!options.asksSuspects()) return await askGrant(options, null);
  const admission = await options.suspects.admit(options.hash);
  if (admission.kind === "busy") return admission;
  if (admission.kind === "convicted") {
    const { retryAfterMs } = admission;
    return { kind: "refused", refusal: notRun("convicted", { retryAfterMs }) };
  }
  const outcome = await askGrant(options, admission.run);
  if (outcome.kind !== "granted") options.suspects.released(admission.run);
  return outcome;
}

/** Gives back what was admitted too late. */
export function returnAdmission(
  outcome: AdmissionOutcome,
  options: AdmissionOptions,
): void {
  if (outcome.kind !== "granted") return;
  if (outcome.suspect) options.suspects.released(outcome.suspect);
  options.grants.tell(outcome.hold, { kind: "ended", generatedTokens: 0 });
}

async function askGrant(
  options: AdmissionOptions,
  suspect: SuspectRun | null,
): Promise<AdmissionOutcome> {
  const alone = suspect?.alone ?? false;
  const answer = await options.grants.ask({ ...options.request, alone });
  if (!answer) return { kind: "unanswered" };
  if (answer.kind === "granted") {
    return { kind: "granted", hold: answer.hold, suspect };
  }
  const { reason, retryAfterMs } = answer;
  return { kind: "refused", refusal: notRun(reason, { retryAfterMs }) };
}
