/** State of one summary that its stages (claim, admission, engine) share. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint } from "../configuration/types.ts";
import type { GrantProgress } from "../grants/types.ts";
import type { PrefillOrder, Prompt } from "../ports/engines.ts";
import type { RetryBudget, RetryReason } from "../retries/budget.ts";
import {
  asId,
  type Digest,
  type EndpointId,
  type RequestKey,
  type StreamId,
} from "../common/ids.ts";
import type { MachineTask } from "../common/machine_task.ts";
import { mayHaveRun, notRun, type Refusal } from "../common/verdict.ts";
import { suspectHash, type SuspectTracker } from "../suspects/tracker.ts";
import type { SuspectHash } from "../suspects/types.ts";
import type { VmContext } from "../vm/types.ts";
import { type Attempt, locationOf } from "./attempt.ts";
import type { CancelTracker } from "./cancels.ts";
import type { HandoverTracker } from "./handovers.ts";
import type { FreezeDetector } from "./freeze_detector.ts";
import type { GrantsClient } from "./grants_client.ts";
import { engineKey, summaryBody, summaryDigest, summaryKey } from "./keys.ts";
import type { summaryMachine, SummaryMachineEvent } from "./machine.ts";
import type { SummaryPolicies } from "./policies.ts";
import { measurePrompt } from "./prompt.ts";
import type { Registrar } from "./registrar.ts";
import { AnswerRelay } from "./relay.ts";
import type { Registration, SummaryRequest, SummarySink } from "./types.ts";

/** Services and settings that the run of a summary uses. */
export interface SummaryRunOptions {
  context: VmContext;
  configuration: ConfigurationView;
  registrar: Registrar;
  grants: GrantsClient;
  cancels: CancelTracker;
  handovers: HandoverTracker;
  suspects: SuspectTracker;
  retries: RetryBudget;
  policies: SummaryPolicies;
  freezeDetector: FreezeDetector;
  nextStreamId: () => StreamId;
}

const DEFAULT_FIRST_TOKEN_TARGET_MS = 610;
/** With less time left before the deadline, no further attempt is made. */
export const MIN_ATTEMPT_MS = 300;
const PRIORITY = 5;
const LOST_DETAIL =
  "The replica that generated this answer was lost; ask again from the start";

/** Holds the shared state of the stages of one summary. */
export class RunState {
  readonly options: SummaryRunOptions;
  readonly key: RequestKey;
  readonly bodyDigest: Digest;
  readonly suspectHash: SuspectHash;
  readonly prompt: Prompt;
  readonly relay: AnswerRelay;
  /** Replicas that retries should not be assigned to. */
  readonly avoidedReplicas = new Set<EndpointId>();
  request: SummaryRequest;
  epoch = Date.now();
  attempt: Attempt | null = null;
  /** Whether this VM owns the summary's key. */
  ownsKey = false;
  /** When the caller stops waiting, in milliseconds of `performance.now`. */
  deadlineAtMs: number;
  /** When the first token is due, in milliseconds of `performance.now`. */
  firstTokenAtMs: number;
  /**
   * Incremented when an operation (a call, a wait or an attachment) begins and
   * when an attachment is closed. Answers under an earlier number are stale.
   */
  operationNumber = 0;
  #machine: MachineTask<typeof summaryMachine> | undefined;

  constructor(
    request: SummaryRequest,
    options: SummaryRunOptions & { sink: SummarySink },
  ) {
    this.options = options;
    this.request = request;
    this.key = summaryKey(request);
    this.bodyDigest = summaryDigest(request);
    this.suspectHash = suspectHash(request.workspace, summaryBody(request));
    this.prompt = measurePrompt(request.prompt);
    this.deadlineAtMs = deadlineOf(request);
    this.firstTokenAtMs = performance.now() + this.firstTokenTargetMs();
    this.relay = new AnswerRelay({
      sink: options.sink,
      fromOffset: request.fromOffset,
      isNext: options.policies.isNext,
    });
  }

  /** Sets the state machine that the stages send events to. */
  setMachine(machine: MachineTask<typeof summaryMachine>): void {
    this.#machine = machine;
  }

  /**
   * The machine's state; the initial one while the machine is being created.
   */
  get stateName(): string {
    return this.#machine ? String(this.#machine.snapshot.value) : "registering";
  }

  /** The machine's context. */
  get machineContext() {
    return this.#machine!.snapshot.context;
  }

  /** Sends an event to the state machine. */
  send(event: SummaryMachineEvent): void {
    this.#machine?.send(event);
  }

  /** Builds the registration that this VM sends to the key's home. */
  registration(state: Registration["state"] = "running"): Registration {
    const { identity } = this.options.context;
    return {
      key: this.key,
      caller: this.request.caller,
      bodyDigest: this.bodyDigest,
      owner: { vm: identity.id, incarnation: identity.incarnation },
      epoch: this.epoch,
      state,
      run: this.attempt && locationOf(this.attempt),
    };
  }

  /**
   * Sends the run's current location to the key's home. Yields to a newer owner
   * if the home knows one.
   */
  updateRegistration(): void {
    if (!this.ownsKey) return;
    void this.options.registrar.register(this.registration(), true).then(
      (answer) => {
        if (answer?.kind !== "exists" || this.relay.ended) return;
        this.yieldTo(answer.registration);
      },
    );
  }

  /**
   * Ends the summary with a refusal. After part of an answer was sent, the
   * refusal never says that the request did not run.
   */
  refuse(refusal: Refusal): void {
    const { fromOffset } = this.request;
    const answeredInPart = fromOffset > 0 || this.relay.nextOffset > fromOffset;
    const reported = answeredInPart
      ? refusalAfterPartialAnswer(refusal)
      : refusal;
    this.options.context.observer.count("refusals", reported.reason);
    this.send({ type: "refused", refusal: reported });
  }

  /**
   * Ends the attempt; retries where a retry is allowed, and refuses otherwise.
   */
  fail(reason: RetryReason): void {
    if (this.acquireRetry(reason)) this.restart();
  }

  /** Ends the attempt and begins another one, for which a retry was acquired. */
  restart(): void {
    if (this.attempt?.failedReplica) {
      this.avoidedReplicas.add(this.attempt.failedReplica.id);
    }
    this.send({ type: "failed" });
  }

  /**
   * Returns whether the summary may be retried, and takes the retry from the
   * retry budget; a retry after a change of home isn't counted. Refuses the
   * summary when it may not be retried.
   */
  acquireRetry(reason: RetryReason): boolean {
    const refusal = this.#takeRetry(reason);
    if (refusal) this.refuse(refusal);
    return !refusal;
  }

  /** Does the same as {@link acquireRetry}, but never refuses the summary. */
  tryAcquireRetry(reason: RetryReason): boolean {
    return !this.#takeRetry(reason);
  }

  /** Takes a retry; returns the refusal to give when there is none. */
  #takeRetry(reason: RetryReason): Refusal | null {
    const { retries } = this.options;
    if (!this.relay.canRestart) {
      return mayHaveRun("engine-crashed", LOST_DETAIL);
    }
    if (this.remainingMs() < MIN_ATTEMPT_MS) {
      return notRun("deadline-unreachable");
    }
    if (reason === "home-changed") return null;
    return retries.take(this.request.workspace, reason)
      ? null
      : notRun("retry-budget-spent");
  }

  /** Records that a replica was ordered to run the request. */
  recordStart(attempt: Attempt, endpoint: Endpoint): void {
    if (!attempt.suspect) return;
    this.options.suspects.started(attempt.suspect, endpoint.id);
  }

  /** Records that a replica crashed with the request in flight. */
  recordCrash(attempt: Attempt, endpoint: Endpoint): void {
    attempt.failedReplica = endpoint;
    if (!attempt.suspect) return;
    this.options.suspects.crashed(attempt.suspect, endpoint.id);
  }

  /** Ends the run at this VM. If `keepsRun`, another owner continues it. */
  supersede(keepsRun: boolean): void {
    const refusal = mayHaveRun("superseded");
    this.send({ type: "superseded", refusal, keepsRun });
    const attempt = this.attempt;
    if (!keepsRun || !attempt) return;
    for (const holder of attempt.holders) {
      this.options.handovers.watch(holder, attempt.stream);
    }
    if (attempt.suspect) this.options.suspects.released(attempt.suspect);
    if (attempt.hold) this.options.grants.handOver(attempt.hold);
  }

  /**
   * Ends the run at this VM in favour of an owner with a newer registration.
   * Refuses the summary when that registration is for another body.
   */
  yieldTo(newer: Registration): void {
    if (newer.bodyDigest !== this.bodyDigest) {
      return this.refuse(notRun("key-reused"));
    }
    this.supersede(newer.run?.stream === this.attempt?.stream);
  }

  /** Reports the attempt's progress to the shard's home. */
  reportProgress(attempt: Attempt, progress: GrantProgress): void {
    if (attempt.hold) {
      this.options.grants.reportProgress(attempt.hold, progress);
    }
  }

  /**
   * Returns the key of the attempt's grant request. Each attempt has its own,
   * so that a late withdrawal can't affect the next attempt.
   */
  grantKey(attempt: Attempt): RequestKey {
    return asId(`${this.key}@${attempt.stream}`);
  }

  /** Builds the order that engines receive for the attempt. */
  buildOrder(attempt: Attempt): PrefillOrder {
    return {
      stream: attempt.stream,
      key: engineKey(this.key, this.bodyDigest),
      owner: this.registration().owner,
      model: this.request.model,
      prompt: this.prompt,
      priority: PRIORITY,
    };
  }

  /**
   * Begins a new operation and handles its result. If another operation has
   * begun before the promise resolves, calls `onStale` instead.
   */
  handleUnlessStale<T>(
    promise: Promise<T>,
    handle: (value: T) => void,
    onStale?: (value: T) => void,
  ): void {
    this.operationNumber += 1;
    const operation = this.operationNumber;
    const { freezeDetector, context } = this.options;
    void promise.then((value) => {
      freezeDetector.check();
      if (operation === this.operationNumber) return handle(value);
      context.observer.count("stale_answers", "stage");
      onStale?.(value);
    });
  }

  /**
   * Sends the machine an event after a time, unless another operation has
   * begun.
   */
  sendAfter(waitMs: number, event: SummaryMachineEvent): void {
    const waited = new Promise<void>((resolve) => setTimeout(resolve, waitMs));
    this.handleUnlessStale(waited, () => this.send(event));
  }

  /** Returns the time left until the caller stops waiting. */
  remainingMs(): number {
    return Math.max(0, this.deadlineAtMs - performance.now());
  }

  /** Returns the time within which the first token is due. */
  firstTokenTargetMs(): number {
    return this.deployment()?.firstTokenTargetMs ??
      DEFAULT_FIRST_TOKEN_TARGET_MS;
  }

  /** Returns the deployment's settings in the active configuration. */
  deployment() {
    return this.options.configuration.current()?.bodies.deployment;
  }

  /** Returns the endpoints of the active configuration. */
  endpoints(): readonly Endpoint[] {
    return this.options.configuration.current()?.bodies.endpoints ?? [];
  }

  /**
   * Finds an endpoint in the active configuration; null when it isn't there.
   */
  endpoint(id: EndpointId): Endpoint | null {
    return this.endpoints().find((endpoint) => endpoint.id === id) ?? null;
  }

  /**
   * Frees all that the attempt holds: runs at replicas, its grant or pending
   * grant request, and its suspect run.
   */
  abandon(): void {
    const attempt = this.attempt;
    if (!attempt) return;
    this.attempt = null;
    const { cancels, grants, suspects } = this.options;
    for (const holder of attempt.holders) {
      cancels.cancel(holder, attempt.stream);
    }
    if (!attempt.hold) {
      if (attempt.grantRequest) grants.withdraw(attempt.grantRequest);
    } else this.reportProgress(attempt, this.#lastProgress(attempt));
    if (attempt.suspect) suspects.released(attempt.suspect);
  }

  #lastProgress(attempt: Attempt): GrantProgress {
    return attempt.failedReplica
      ? { kind: "failed", endpoint: attempt.failedReplica.id }
      : { kind: "ended", generatedTokens: this.relay.nextOffset };
  }

  /** Frees the summary's key at its home. */
  releaseKey(): void {
    if (!this.ownsKey) return;
    this.ownsKey = false;
    const { registrar } = this.options;
    void registrar.register(this.registration("cancelled"), true);
  }
}

/** Converts a request's deadline to milliseconds of `performance.now`. */
export function deadlineOf(request: SummaryRequest): number {
  return performance.now() + request.deadlineAtMs - Date.now();
}

/**
 * Converts the refusal of a request that was answered in part. The caller must
 * not conclude that the request did not run.
 */
function refusalAfterPartialAnswer(refusal: Refusal): Refusal {
  if (refusal.kind === "mayHaveRun") return refusal;
  switch (refusal.reason) {
    case "not-found":
      return refusal;
    case "key-reused":
      return mayHaveRun("key-reused");
    case "deadline-passed":
    case "deadline-unreachable":
      return mayHaveRun("deadline-passed");
    default:
      return mayHaveRun("engine-crashed", `${LOST_DETAIL}: ${refusal.reason}`);
  }
}
