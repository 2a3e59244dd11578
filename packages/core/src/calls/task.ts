/** Runs calls to plain services. Calls that may not be repeated run at most once. */
import { err, ok } from "neverthrow";
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint, Service } from "../configuration/types.ts";
import type { IncarnationCheck, MembershipView } from "../membership/types.ts";
import type { Row } from "../ports/platform.ts";
import type { ServiceAnswer } from "../ports/services.ts";
import type { RetryBudget } from "../retries/budget.ts";
import {
  type EndpointId,
  type RequestId,
  type RequestKey,
  requestKey,
} from "../common/ids.ts";
import { mayHaveRun, notRun, type Refusal } from "../common/verdict.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import type { AwaitParams } from "./app.ts";
import { ClaimStore } from "./commands/claim_store.ts";
import { forwardCall } from "./commands/forward.ts";
import { fetchAnswer } from "./commands/stored_answer.ts";
import { RowSweeper } from "./commands/sweep_rows.ts";
import { ClaimFollower } from "./claim_follower.ts";
import { CALL_POLICIES, type CallPolicies } from "./policies.ts";
import { callDigest, isSameCall } from "./queries/call_digest.ts";
import { chooseEndpoint } from "./queries/choose_endpoint.ts";
import { parseKeyCreatedAtMs } from "./queries/key_time.ts";
import { UnreachableEndpoints } from "./unreachable_endpoints.ts";
import { attemptNotRun, CallRun, claimToken } from "./run.ts";
import {
  remainingMs,
  type StepResult,
  type Submission,
  untilDeadline,
} from "./submission.ts";
import type {
  CallerConnection,
  CallOutcome,
  CallRequest,
  CallRow,
  CallVerdict,
} from "./types.ts";
import type { Waiter, WaitOutcome } from "./waiters.ts";

const EVENT_LOOP_TICK_MS = 250;
/** How far a key's timestamp may be ahead of this VM's clock. */
const MAX_KEY_LEAD_MS = 300_000;
/**
 * How long a connection at another VM counts as connected after its last poll
 * has timed out.
 */
const REMOTE_WAITER_GRACE_MS = 1_500;
const ALWAYS_CONNECTED: CallerConnection = { isDisconnected: () => false };

/** Options of {@link CallsTask}. */
export interface CallsTaskOptions {
  configuration: ConfigurationView;
  membership: MembershipView & IncarnationCheck;
  retries: RetryBudget;
  policies?: Partial<CallPolicies>;
}

/** A step's result, or the row that the claim conflicted with; null if it was deleted since. */
type ClaimResult = StepResult<ServiceAnswer> | {
  kind: "occupied";
  row: Row | null;
};

/** Owns the calls that this VM received. */
export class CallsTask implements VmTask {
  #context: VmContext;
  #options: CallsTaskOptions;
  #policies: CallPolicies;
  #store: ClaimStore;
  #follower: ClaimFollower;
  #sweeper: RowSweeper;
  #runs = new Map<RequestKey, CallRun>();
  #unreachable = new UnreachableEndpoints();
  #submissionCount = 0;
  #claimCount = 0;
  #lastTickAtMs = performance.now();
  #ticker: ReturnType<typeof setInterval> | undefined;

  constructor(context: VmContext, options: CallsTaskOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...CALL_POLICIES, ...options.policies };
    this.#store = new ClaimStore(context, {
      policies: this.#policies,
      liveVms: () => this.#countLiveVms(),
      onAvailabilityChange: (available) =>
        this.#onStoreAvailabilityChange(available),
    });
    this.#follower = new ClaimFollower(context, {
      membership: options.membership,
      store: this.#store,
      policies: this.#policies,
    });
    this.#sweeper = new RowSweeper(context, options.membership);
  }

  start(): void {
    this.#lastTickAtMs = performance.now();
    this.#ticker = setInterval(() => {
      this.#lastTickAtMs = performance.now();
    }, EVENT_LOOP_TICK_MS);
    this.#sweeper.start();
  }

  stop(): void {
    clearInterval(this.#ticker);
    this.#sweeper.stop();
    this.#store.stop();
  }

  /**
   * Number of calls whose row is not final yet; a graceful shutdown waits until
   * it is 0.
   */
  get inProgress(): number {
    return this.#runs.size;
  }

  /** Runs one call and returns its verdict. */
  async submit(
    call: CallRequest,
    connection: CallerConnection = ALWAYS_CONNECTED,
  ): Promise<CallVerdict> {
    const bodies = this.#options.configuration.current()?.bodies;
    if (!bodies) return err(attemptNotRun("no-configuration"));
    const service = bodies.deployment.services.find((candidate) =>
      candidate.name === call.service
    );
    if (!service) return err(notRun("not-found"));
    this.#options.retries.recordAdmitted(call.workspace);
    if (service.repeatableMethods.includes(call.method)) {
      return await forwardCall(this.#context, {
        call,
        service,
        retries: this.#options.retries,
        chooseEndpoint: (tried) => this.#chooseEndpoint(call, tried),
        onUnreachable: (endpoint) => this.#recordUnreachable(endpoint),
      });
    }
    if (!call.request) return err(notRun("missing-idempotency-key"));
    const { callRetentionMs } = bodies.deployment;
    const keyCreatedAtMs = call.keyCreatedAtMs ??
      parseKeyCreatedAtMs(call.request) ??
      Date.now();
    const refusal = checkKeyTime(keyCreatedAtMs, callRetentionMs);
    if (refusal) return err(refusal);
    const submission = this.#createSubmission(call, {
      request: call.request,
      connection,
      service,
      // A row must not expire while its call can still be in progress.
      expiresAtMs: Math.max(keyCreatedAtMs, Date.now(), call.deadlineAtMs) +
        service.timeoutMs + callRetentionMs,
    });
    return await this.#runAtMostOnce(submission);
  }

  /** Waits for the outcome of a call that this VM claimed. */
  awaitOutcome(params: AwaitParams): Promise<CallOutcome> {
    const run = this.#runs.get(params.key);
    const { incarnation } = this.#context.identity;
    const isHeld = run && params.incarnation === incarnation &&
      params.token === run.claim.token;
    if (!isHeld) return Promise.resolve({ kind: "unknown" });
    const untilMs = performance.now() + params.timeoutMs +
      REMOTE_WAITER_GRACE_MS;
    return new Promise((resolve) => {
      const timer = setTimeout(
        () => resolve({ kind: "pending" }),
        params.timeoutMs,
      );
      run.attach({
        id: params.waiter,
        deadlineAtMs: Date.now() + params.deadlineInMs,
        isDisconnected: () => performance.now() > untilMs,
        receive: (outcome) => {
          clearTimeout(timer);
          resolve(outcome.kind === "occupied" ? { kind: "unknown" } : outcome);
        },
      });
    });
  }

  #createSubmission(
    call: CallRequest,
    options: {
      request: RequestId;
      connection: CallerConnection;
      service: Service;
      expiresAtMs: number;
    },
  ): Submission {
    this.#submissionCount += 1;
    const { request, ...submissionFields } = options;
    return {
      ...submissionFields,
      call,
      id: `${this.#context.identity.incarnation}-w${this.#submissionCount}`,
      key: requestKey(call.workspace, request),
      bodyDigest: callDigest(call),
    };
  }

  // Runs the call, waits for the run that holds its key, or returns its stored answer.
  async #runAtMostOnce(submission: Submission): Promise<CallVerdict> {
    let previous: Row | null = null;
    let deadlineRefusal: Refusal = attemptNotRun("deadline-passed");
    while (remainingMs(submission) > 0) {
      const claimResult = await this.#attachOrClaim(submission, previous);
      previous = null;
      const step = claimResult.kind === "occupied"
        ? await this.#handleExistingRow(submission, claimResult.row)
        : claimResult;
      if (step.kind === "refused") return err(step.refusal);
      if (step.kind === "answered") {
        return ok({ ...step.answer, replayed: step.replayed });
      }
      if (step.kind === "claim") previous = step.row;
      else deadlineRefusal = mayHaveRun("in-progress-elsewhere");
    }
    return err(deadlineRefusal);
  }

  async #attachOrClaim(
    submission: Submission,
    previous: Row | null,
  ): Promise<ClaimResult> {
    const activeRun = this.#runs.get(submission.key);
    if (
      activeRun &&
      isSameCall(activeRun.callIdentity, callIdentityOf(submission))
    ) {
      return await this.#waitFor(activeRun, submission);
    }
    if (activeRun?.isClaimed) return refused(notRun("key-reused"));
    if (!this.#store.available) {
      const { retryAfterMs } = this.#store;
      return refused(attemptNotRun("store-unavailable", retryAfterMs));
    }
    if (activeRun) {
      // The other call's claim may fail, which leaves the key to this submission.
      await untilDeadline(submission, activeRun.claimSettled);
      return { kind: "again" };
    }
    return await this.#waitFor(
      this.#createRun(submission, previous),
      submission,
      { start: true },
    );
  }

  async #waitFor(
    run: CallRun,
    submission: Submission,
    options: { start: boolean } = { start: false },
  ): Promise<ClaimResult> {
    const outcome = await new Promise<WaitOutcome>((resolve) => {
      const waiter: Waiter = {
        id: submission.id,
        deadlineAtMs: submission.call.deadlineAtMs,
        isDisconnected: submission.connection.isDisconnected,
        receive: resolve,
      };
      if (options.start) run.start(waiter);
      else run.attach(waiter);
    });
    if (outcome.kind === "occupied") {
      return { kind: "occupied", row: run.conflictingRow };
    }
    return outcome.kind === "released" ? { kind: "again" } : outcome;
  }

  #createRun(submission: Submission, previous: Row | null): CallRun {
    const { call, key, bodyDigest, service, expiresAtMs } = submission;
    this.#claimCount += 1;
    const run = new CallRun(this.#context, {
      call,
      key,
      bodyDigest,
      service,
      previous,
      attempt: nextAttempt(previous),
      expiresAtMs,
      token: claimToken(this.#context, this.#claimCount),
      store: this.#store,
      policies: this.#policies,
      chooseEndpoint: (tried) => this.#chooseEndpoint(call, tried),
      onUnreachable: (endpoint) => this.#recordUnreachable(endpoint),
      eventLoopLagMs: () => performance.now() - this.#lastTickAtMs,
      onEnd: () => {
        if (this.#runs.get(key) === run) this.#runs.delete(key);
      },
    });
    this.#runs.set(key, run);
    return run;
  }

  async #handleExistingRow(
    submission: Submission,
    row: Row | null,
  ): Promise<StepResult<ServiceAnswer> | { kind: "claim"; row: Row }> {
    if (!row) return { kind: "again" };
    const callRow = row.value as unknown as CallRow;
    if (callRow.expiresAtMs <= Date.now()) return { kind: "claim", row };
    if (!isSameCall(callRow, callIdentityOf(submission))) {
      return refused(notRun("key-reused"));
    }
    const { state, claim } = callRow;
    if (state.kind === "released") return { kind: "claim", row };
    if (state.kind === "unknown") return refused(mayHaveRun("claimant-lost"));
    if (state.kind === "done") {
      const answer = await untilDeadline(
        submission,
        fetchAnswer(this.#context.ports.platform, state),
      );
      return answer
        ? { kind: "answered", answer, replayed: true }
        : refused(mayHaveRun("answer-unavailable"));
    }
    if (claim.incarnation === this.#context.identity.incarnation) {
      // This incarnation has no run of the call any more, so its outcome is not known.
      return refused(mayHaveRun("claimant-lost"));
    }
    return await this.#follower.follow(submission, row);
  }

  #chooseEndpoint(
    call: CallRequest,
    tried: ReadonlySet<EndpointId>,
  ): Endpoint | undefined {
    const bodies = this.#options.configuration.current()?.bodies;
    return chooseEndpoint(bodies?.endpoints ?? [], {
      service: call.service,
      dataCentre: this.#context.identity.dataCentre,
      tried,
      avoided: this.#unreachable.avoided(),
      random: this.#context.random,
    });
  }

  // Trying another replica after a failed connect adds no load, so it does not count
  // against the retry budget.
  #recordUnreachable(endpoint: EndpointId): void {
    this.#unreachable.add(endpoint);
    this.#context.observer.count("retries", "endpoint-refused");
  }

  #onStoreAvailabilityChange(available: boolean): void {
    this.#context.observer.log({
      event: "call-claims",
      level: available ? "info" : "warn",
      available,
    });
    if (available) return;
    for (const run of [...this.#runs.values()]) {
      const { retryAfterMs } = this.#store;
      run.giveUp(attemptNotRun("store-unavailable", retryAfterMs));
    }
  }

  #countLiveVms(): number {
    return this.#options.membership.members().filter((member) =>
      member.state === "live"
    ).length;
  }
}

function callIdentityOf(
  submission: Submission,
): Pick<CallRow, "caller" | "bodyDigest"> {
  return { caller: submission.call.caller, bodyDigest: submission.bodyDigest };
}

function nextAttempt(previous: Row | null): number {
  const row = previous?.value as unknown as CallRow | undefined;
  return row?.state.kind === "released" ? row.attempt + 1 : 1;
}

function checkKeyTime(
  keyCreatedAtMs: number,
  retentionMs: number,
): Refusal | null {
  if (keyCreatedAtMs > Date.now() + MAX_KEY_LEAD_MS) {
    return notRun("bad-request", {
      detail: "The key's time is ahead",
    });
  }
  const isExpired = keyCreatedAtMs + retentionMs <= Date.now();
  return isExpired ? attemptNotRun("key-expired") : null;
}

function refused(refusal: Refusal): { kind: "refused"; refusal: Refusal } {
  return { kind: "refused", refusal };
}
