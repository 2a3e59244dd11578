/**
 * Follows a claim that another VM holds: polls the claimant for the outcome
 * until it replies or is lost.
 */
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

const POLL_TIMEOUT_MS = 2_000;
const POLL_GRACE_MS = 250;
const POLL_INTERVAL_MS = 200;
/** How often a claimant may deny a claim that the row still assigns to it. */
const MAX_DENIALS = 3;

/** Options of {@link ClaimFollower}. */
export interface ClaimFollowerOptions {
  membership: MembershipView & IncarnationCheck;
  store: ClaimStore;
  policies: CallPolicies;
}

/** Polls claimants for the outcomes of their calls. */
export class ClaimFollower {
  #context: VmContext;
  #options: ClaimFollowerOptions;

  constructor(context: VmContext, options: ClaimFollowerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Waits for the outcome of a claim until the caller's deadline. */
  async follow(
    submission: Submission,
    row: Row,
  ): Promise<StepResult<ServiceAnswer>> {
    let latest = row;
    let claimantResponded = true;
    let claimantLost = false;
    let denials = 0;
    while (
      remainingMs(submission) > 0 && !submission.connection.isDisconnected()
    ) {
      const { claim } = latest.value as unknown as CallRow;
      const decision = this.#options.policies.decideClaim({
        claim,
        claimantLost,
        claimantResponded,
      });
      if (decision !== "ask") {
        const kind = decision === "release" ? "released" : "unknown";
        return await this.#close(submission, { row: latest, kind });
      }
      const outcome = await this.#poll(submission, claim);
      claimantResponded = outcome !== null;
      if (outcome?.kind === "answered" || outcome?.kind === "refused") {
        return outcome;
      }
      if (outcome?.kind === "released") return { kind: "again" };
      if (outcome?.kind === "pending") continue;
      if (outcome?.kind === "unknown") denials += 1;
      if (denials > MAX_DENIALS) return refused("claimant-lost");
      claimantLost = await this.#isLost(submission, claim);
      await untilDeadline(submission, wait(POLL_INTERVAL_MS));
      const current = await untilDeadline(
        submission,
        this.#options.store.read(submission.key),
      );
      // A read that returns no row, or fails, proves nothing about the claim.
      if (!current || current === "failed") continue;
      if (!current.version.equals(latest.version)) return { kind: "again" };
      latest = current;
    }
    return refused("in-progress-elsewhere");
  }

  async #poll(
    submission: Submission,
    claim: CallRow["claim"],
  ): Promise<CallOutcome | null> {
    const member = this.#options.membership.member(claim.vm);
    if (!member) return null;
    const timeoutMs = Math.min(POLL_TIMEOUT_MS, remainingMs(submission));
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
    options: { row: Row; kind: "unknown" | "released" },
  ): Promise<StepResult<ServiceAnswer>> {
    const state: CallRowState = { kind: options.kind };
    const { outcome } = this.#options.store.write({
      row: {
        ...options.row.value as unknown as CallRow,
        state,
        writeToken: `${submission.id}-${options.kind}`,
      },
      expect: { kind: "version", version: options.row.version },
      urgent: true,
    });
    const written = await untilDeadline(submission, outcome);
    if (written?.kind === "conflict") return { kind: "again" };
    if (options.kind === "released" && written) return { kind: "again" };
    this.#context.observer.count("claims", "claimant-lost");
    return refused("claimant-lost");
  }

  async #isLost(
    submission: Submission,
    claim: CallRow["claim"],
  ): Promise<boolean> {
    const { vm, incarnation } = claim;
    const isConfirmed = await untilDeadline(
      submission,
      this.#options.membership.confirmEnded({ vm, incarnation }),
    );
    return isConfirmed ?? false;
  }
}

function refused(reason: MayHaveRunReason): StepResult<ServiceAnswer> {
  return { kind: "refused", refusal: mayHaveRun(reason) };
}
