/**
 * Claims a summary's key, and verifies the claim after a time in which the VM
 * did not run.
 */
import { type Attempt, takeOverAttempt } from "./attempt.ts";
import type { AdmissionStage } from "./admission_stage.ts";
import type { Claim } from "./registrar.ts";
import type { RunState } from "./run_state.ts";
import type { RunLocation } from "./types.ts";

const VERIFY_ATTEMPTS = 3;
const VERIFY_INTERVAL_MS = 200;

/** Registers and verifies a claim, and takes over the run of another owner. */
export class ClaimStage {
  #state: RunState;
  #admission: AdmissionStage;

  constructor(state: RunState, admission: AdmissionStage) {
    this.#state = state;
    this.#admission = admission;
  }

  /** Claims the key for this VM and takes over its run, if there is one. */
  register(): void {
    const { registrar, policies } = this.#state.options;
    const { fromOffset, model } = this.#state.request;
    const claimed = registrar.claim(this.#state.registration(), {
      fromOffset,
      model,
      takesOver: policies.takesOver,
    });
    this.#state.handleUnlessStale(
      claimed,
      (claim) => this.#handleClaim(claim),
      (claim) => {
        // The caller disconnected meanwhile: free the key and a run taken over.
        if (claim.kind === "refused" || !this.#state.relay.ended) return;
        this.#recordOwnership(claim.epoch);
        if (claim.kind === "located") {
          this.#state.attempt = this.#takeOver(claim.run);
        }
        this.#state.abandon();
        this.#state.releaseKey();
      },
    );
  }

  #handleClaim(claim: Claim): void {
    if (claim.kind === "refused") return this.#state.refuse(claim.refusal);
    this.#recordOwnership(claim.epoch);
    if (claim.kind === "new") {
      this.#state.options.retries.recordAdmitted(this.#state.request.workspace);
      return this.#state.send({ type: "registered" });
    }
    this.#state.attempt = this.#takeOver(claim.run);
    this.#state.send({
      type: this.#state.attempt.decode ? "located" : "registered",
    });
  }

  #recordOwnership(epoch: number): void {
    this.#state.ownsKey = true;
    this.#state.epoch = Math.max(this.#state.epoch, epoch);
  }

  #takeOver(run: RunLocation): Attempt {
    const attempt = takeOverAttempt(run, this.#state.endpoints());
    if (!run.grant || !attempt.prefill || !attempt.decode) return attempt;
    attempt.grantRequest = this.#admission.buildGrantRequest(attempt);
    attempt.hold = {
      request: attempt.grantRequest,
      granted: {
        kind: "granted",
        grant: run.grant,
        prefill: attempt.prefill.id,
        decode: attempt.decode.id,
        startInMs: 0,
        cachedTokens: 0,
        memoryPieces: 0,
      },
      phase: "decode",
    };
    this.#state.options.grants.takeOver(attempt.hold);
    return attempt;
  }

  /**
   * Asks the key's homes for a newer owner. If no home answers, the run goes on
   * after `attemptsLeft` attempts.
   */
  verify(attemptsLeft = VERIFY_ATTEMPTS): void {
    const verified = this.#state.options.registrar.verify(
      this.#state.registration(),
    );
    this.#state.handleUnlessStale(verified, (answer) => {
      if (answer?.kind === "exists") {
        return this.#state.yieldTo(answer.registration);
      }
      if (answer || attemptsLeft <= 1) {
        return this.#state.send({ type: "verified" });
      }
      const waited = new Promise((resolve) =>
        setTimeout(resolve, VERIFY_INTERVAL_MS)
      );
      this.#state.handleUnlessStale(
        waited,
        () => this.verify(attemptsLeft - 1),
      );
    });
  }
}
