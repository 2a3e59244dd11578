/** Follows a claim that another VM holds: asks the claimant, or finds that it is gone. */
import { wait } from "../common/wait.ts";
import type { IncarnationCheck, MembershipView } from "../membership/types.ts";
import type { Row } from "../ports/platform.ts";
import type { ServiceAnswer } from "../ports/services.ts";
import { mayHaveRun, type MayHaveRunReason } from "../common/verdict.ts";
import type { VmContext } from "../vm/types.ts";
import type { ClaimStore } from "./commands/claim_store.ts";
import type { CallPolicies } from "./policies.ts";
import { remainingMs, type StepResult, type Submission } from "./submission.ts";
import { untilDeadline } from "./submission.ts";
import type { CallOutcome, CallRow, CallRowState } from "./types.ts";

const POLL_MS = 2_000;
const POLL_GRACE_MS = 250;
const PAUSE_MS = 200;
/** How often a claimant may deny a claim that still stands in its name. */
const MAX_DENIALS = 3;

/** Options of {@link ClaimFollower}. */
export interface ClaimFollowerOptions {
  membership: MembershipView & IncarnationCheck;
  store: ClaimStore;
  policies: CallPolicies;
}

/** Owns the questions to claimants. */
export class ClaimFollower {
  #context: VmContext;
  #options: ClaimFollowerOptions;

  constructor(context: VmContext, options: ClaimFollowerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Waits for what becomes of a claim, until the caller stops waiting. */
  async follow(
    submission: Submission,
    row: Row,
  ): Promise<StepResult<ServiceAnswer>> {
    let held = row;
    let reached = true;
    let gone = false;
    let denials = 0;
    while (remainingMs(submission) > 0 && !submission.waiter.isDisconnected()) {
      const { claim } = held.value as unknown as CallRow;
      const decision = this.#options.policies.decideClaim({
        claim,
        claimantLost: gone,
        claimantResponded: reached,
      });
      if (decision !== "ask") {
        const kind = decision === "release" ? "released" : "unknown";
        return await this.#close(submission, { row: held, kind });
      }
      const outcome = await this.#ask(submission, claim);
      reached = outcome !== null;
      if (outcome?.kind === "answered" || outcome?.kind === "refused") {
        return outcome;
      }
      if (outcome?.kind === "released") return { kind: "again" };
      if (outcome?.kind === "pending") continue;
      if (outcome?.kind === "unknown") denials += 1;
      if (denials > MAX_DENIALS) return lost("claimant-lost");
      gone = await this.#isGone(submission, claim);
      await untilDeadline(submission, wait(PAUSE_MS));
      const now = await untilDeadline(
        submission,
        this.#options.store.read(submission.key),
      );
      // A read that finds nothing, or fails, proves nothing of the claim.
      if (!now || now === "failed") continue;
      if (now.version !== held.version) return { kind: "again" };
      held = now;
    }
    return lost("in-progress-elsewhere");
  }

  async #ask(
    submission: Submission,
    claim: CallRow["claim"],
  ): Promise<CallOutcome | null> {
    const member = this.#options.membership.member(claim.vm);
    if (!member) return null;
    const timeoutMs = Math.min(POLL_MS, remainingMs(submission));
    const answer = await this.#context.ports.peers.call(
      member,
      "calls/await",
      {
        params: {
          key: submission.key,
          incarnation: claim.incarnation,
          token: claim.token,
          waiter: submission.id,
          deadlineInMs: remainingMs(submission),
          timeoutMs,
        },
        timeoutMs: timeoutMs + POLL_GRACE_MS,
        fresh: true,
      },
    );
    return answer.unwrapOr(null);
  }

  async #close(
    submission: Submission,
    how: { row: Row; kind: "unknown" | "released" },
  ): Promise<StepResult<ServiceAnswer>> {
    const state: CallRowState = { kind: how.kind };
    const { outcome } = this.#options.store.write({
      row: {
        ...how.row.value as unknown as CallRow,
        state,
        writeToken: `${submission.id}-${how.kind}`,
      },
      expect: { kind: "version", version: how.row.version },
      urgent: true,
    });
    const written = await untilDeadline(submission, outcome);
    if (written?.kind === "conflict") return { kind: "again" };
    if (how.kind === "released" && written) return { kind: "again" };
    this.#context.observer.count("claims", "claimant-lost");
    return lost("claimant-lost");
  }

  async #isGone(
    submission: Submission,
    claim: CallRow["claim"],
  ): Promise<boolean> {
    const { vm, incarnation } = claim;
    const confirmed = await untilDeadline(
      submission,
      this.#options.membership.confirmGone({ vm, incarnation }),
    );
    return confirmed ?? false;
  }
}

function lost(reason: MayHaveRunReason): StepResult<ServiceAnswer> {
  return { kind: "refused", refusal: mayHaveRun(reason) };
}
