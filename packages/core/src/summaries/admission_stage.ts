/** Admits the attempts of one summary, and backs off before each retry. */
import type { GrantRequest } from "../grants/types.ts";
import { backOffMs } from "../retries/budget.ts";
import { notRun } from "../common/verdict.ts";
import {
  type AdmissionOptions,
  type AdmissionOutcome,
  admitAttempt,
  releaseAdmission,
} from "./admission.ts";
import { type Attempt, createAttempt } from "./attempt.ts";
import { MIN_ATTEMPT_MS, type RunState } from "./run_state.ts";

/** Requests admission for attempts and applies the results to the run. */
export class AdmissionStage {
  #state: RunState;
  #minBackOffMs = 0;
  #startInMs = 0;

  constructor(state: RunState) {
    this.#state = state;
  }

  /** Waits until the start time that the grant set for the prefill. */
  waitForStart(): void {
    this.#state.sendAfter(this.#startInMs, { type: "due" });
  }

  /** Abandons the current attempt, begins a new one and requests its grant. */
  requestGrant(): void {
    this.#state.abandon();
    const attempt = createAttempt(this.#state.options.nextStreamId());
    this.#state.attempt = attempt;
    this.#admit(attempt);
  }

  /** Releases the attempt's decode replica and requests another one. */
  reassign(attempt: Attempt): void {
    const { cancels, grants } = this.#state.options;
    const { decode, hold } = attempt;
    if (decode) {
      this.#state.avoidedReplicas.add(decode.id);
      attempt.holders.delete(decode);
      cancels.cancel(decode, attempt.stream);
    }
    if (decode && hold) {
      grants.reportProgress(hold, { kind: "failed", endpoint: decode.id });
    }
    if (attempt.suspect) this.#state.options.suspects.released(attempt.suspect);
    attempt.hold = null;
    attempt.suspect = null;
    this.#admit(attempt);
  }

  /** Builds the attempt's request to the shard's home. */
  buildGrantRequest(attempt: Attempt): GrantRequest {
    const { model, workspace, maxTokens } = this.#state.request;
    return {
      key: this.#state.grantKey(attempt),
      stream: attempt.stream,
      owner: this.#state.options.context.identity.id,
      workspace,
      model,
      promptTokens: this.#state.prompt.tokens,
      blocks: this.#state.prompt.blocks,
      maxTokens,
      firstTokenInMs: this.#state.firstTokenAtMs - performance.now(),
      deadlineInMs: this.#state.remainingMs(),
      avoid: [...this.#state.avoidedReplicas],
      alone: false,
    };
  }

  /** Waits before the next attempt. */
  backOff(params: { retries: number }): void {
    const { random } = this.#state.options.context;
    const waitMs = Math.max(
      this.#minBackOffMs,
      backOffMs(params.retries, { random }),
    );
    this.#minBackOffMs = 0;
    // A retry can't meet the first target, so it gets that of a new request.
    this.#state.firstTokenAtMs = performance.now() + waitMs +
      this.#state.firstTokenTargetMs();
    this.#state.sendAfter(waitMs, { type: "due" });
  }

  #admit(attempt: Attempt): void {
    const { grants, suspects, policies } = this.#state.options;
    attempt.grantRequest = this.buildGrantRequest(attempt);
    const options: AdmissionOptions = {
      suspects,
      grants,
      suspectHash: this.#state.suspectHash,
      checksSuspects: policies.checksSuspects,
      request: attempt.grantRequest,
    };
    this.#state.handleUnlessStale(
      admitAttempt(options),
      (outcome) => this.#handleOutcome(attempt, outcome),
      (outcome) => releaseAdmission(outcome, options),
    );
  }

  #handleOutcome(attempt: Attempt, outcome: AdmissionOutcome): void {
    if (outcome.kind === "refused") return this.#state.refuse(outcome.refusal);
    if (outcome.kind === "unanswered") return this.#state.fail("home-changed");
    if (outcome.kind === "busy") return this.#waitForSuspect(outcome);
    const { hold, suspect } = outcome;
    const { granted } = hold;
    attempt.hold = hold;
    attempt.suspect = suspect;
    attempt.prefill ??= this.#state.endpoint(granted.prefill);
    attempt.decode = this.#state.endpoint(granted.decode);
    this.#startInMs = granted.startInMs;
    if (!attempt.prefill || !attempt.decode) {
      return this.#state.refuse(notRun("no-endpoint"));
    }
    this.#logGrant(attempt, granted.cachedTokens);
    this.#state.updateRegistration();
    this.#state.send({ type: "granted" });
  }

  #logGrant(attempt: Attempt, cachedTokens: number): void {
    this.#state.options.context.observer.log({
      event: "summary-granted",
      key: this.#state.key,
      stream: attempt.stream,
      prefill: attempt.prefill?.id,
      decode: attempt.decode?.id,
      cachedTokens,
    });
  }

  #waitForSuspect(busy: { retryAfterMs: number }): void {
    const { retryAfterMs } = busy;
    if (this.#state.remainingMs() < retryAfterMs + MIN_ATTEMPT_MS) {
      return this.#state.refuse(notRun("suspect-busy", { retryAfterMs }));
    }
    this.#minBackOffMs = retryAfterMs;
    this.#state.send({ type: "failed" });
  }
}
