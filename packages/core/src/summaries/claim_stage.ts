/** Claims a summary's key, and checks the claim after the VM did not run for a while. */
import { type Attempt, takeOverAttempt } from "./attempt.ts";
import type { AdmissionStage } from "./admission_stage.ts";
import type { Claim } from "./registrar.ts";
import type { RunState } from "./run_state.ts";
import type { RunLocation } from "./types.ts";

const VERIFY_ATTEMPTS = 3;
const VERIFY_INTERVAL_MS = 200;

/** Registers, verifies and adopts. */
export class ClaimStage {
  #state: RunState;
  #admission: AdmissionStage;

  constructor(state: RunState, admission: AdmissionStage) {
    this.#state = state;
    this.#admission = admission;
  }

  /** Claims the key for this VM. */
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
      (claim) => this.#takeClaim(claim),
      (claim) => {
        // The caller went meanwhile; the key and what was taken over are freed.
        if (claim.kind === "refused" || !this.#state.relay.ended) return;
        this.#own(claim.epoch);
        if (claim.kind === "located") {
          this.#state.attempt = this.#adopt(claim.run);
        }
        this.#state.abandon();
        this.#state.releaseKey();
      },
    );
  }

  #takeClaim(claim: Claim): void {
    if (claim.kind === "refused") return this.#state.refuse(claim.refusal);
    this.#own(claim.epoch);
    if (claim.kind === "new") {
      this.#state.options.retries.admitted(this.#state.request.workspace);
      return this.#state.send({ type: "registered" });
    }
    this.#state.attempt = this.#adopt(claim.run);
    this.#state.send({
      type: this.#state.attempt.decode ? "located" : "registered",
    });
  }

  #own(epoch: number): void {
    this.#state.ownsKey = true;
    this.#state.epoch = Math.max(this.#state.epoch, epoch);
  }

  #adopt(run: RunLocation): Attempt {
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

  /** Asks the homes whether a newer owner is known. */
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
      const again = new Promise((resolve) =>
        setTimeout(resolve, VERIFY_INTERVAL_MS)
      );
      this.#state.handleUnlessStale(again, () => this.verify(attemptsLeft - 1));
    });
  }
}
