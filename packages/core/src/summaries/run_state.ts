/** What the stages of one summary share: its request, its attempt and its machine. */
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
import type { CancelBook } from "./cancels.ts";
import type { HandOverBook } from "./hand_overs.ts";
import type { FreezeWatch } from "./freeze_watch.ts";
import type { GrantsClient } from "./grants_client.ts";
import { engineKey, summaryBody, summaryDigest, summaryKey } from "./keys.ts";
import type { summaryMachine, SummaryMachineEvent } from "./machine.ts";
import type { SummaryPolicies } from "./policies.ts";
import { measurePrompt } from "./prompt.ts";
import type { Registrar } from "./registrar.ts";
import { AnswerRelay } from "./relay.ts";
import type { Registration, SummaryRequest, SummarySink } from "./types.ts";

/** What a summary is run with. */
export interface SummaryRunOptions {
  context: VmContext;
  configuration: ConfigurationView;
  registrar: Registrar;
  grants: GrantsClient;
  cancels: CancelBook;
  handOvers: HandOverBook;
  suspects: SuspectTracker;
  retries: RetryBudget;
  policies: SummaryPolicies;
  watch: FreezeWatch;
  nextStream: () => StreamId;
}

const DEFAULT_FIRST_TOKEN_MS = 610;
/** An attempt needs at least this long. */
export const LEAST_ATTEMPT_MS = 300;
const PRIORITY = 5;
const LOST =
  "The replica that generated this answer was lost; ask again from the start";

/** Owns what the stages of one summary share. */
export class RunState {
  readonly options: SummaryRunOptions;
  readonly key: RequestKey;
  readonly bodyDigest: Digest;
  readonly hash: SuspectHash;
  readonly prompt: Prompt;
  readonly relay: AnswerRelay;
  /** Replicas that a retry should not get. */
  readonly avoid = new Set<EndpointId>();
  request: SummaryRequest;
  epoch = Date.now();
  attempt: Attempt | null = null;
  /** Whether the key's home has given the key to this VM. */
  owns = false;
  /** When the caller stops waiting, on the clock of `performance.now`. */
  deadlineAtMs: number;
  firstTokenAtMs: number;
  /** Counts stages, so that answers to an earlier one are told apart. */
  stage = 0;
  #machine: MachineTask<typeof summaryMachine> | undefined;

  constructor(
    request: SummaryRequest,
    options: SummaryRunOptions & { sink: SummarySink },
  ) {
    this.options = options;
    this.request = request;
    this.key = summaryKey(request);
    this.bodyDigest = summaryDigest(request);
    this.hash = suspectHash(request.workspace, summaryBody(request));
    this.prompt = measurePrompt(request.prompt);
    this.deadlineAtMs = deadlineOf(request);
    this.firstTokenAtMs = performance.now() + this.firstTokenTargetMs();
    this.relay = new AnswerRelay({
      sink: options.sink,
      fromOffset: request.fromOffset,
      isNext: options.policies.isNext,
    });
  }

  /** Sets the machine that the stages feed. */
  connect(machine: MachineTask<typeof summaryMachine>): void {
    this.#machine = machine;
  }

  /** The machine's state; the first one while it is being made. */
  get stateName(): string {
    return this.#machine ? String(this.#machine.snapshot.value) : "registering";
  }

  /** What the machine remembers. */
  get machineContext() {
    return this.#machine!.snapshot.context;
  }

  /** Feeds the machine. */
  send(event: SummaryMachineEvent): void {
    this.#machine?.send(event);
  }

  /** This VM's claim as the key's home keeps it. */
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

  /** Tells the key's home where the run is now. */
  update(): void {
    if (!this.owns) return;
    void this.options.registrar.register(this.registration(), true).then(
      (answer) => {
        if (answer?.kind !== "exists" || this.relay.ended) return;
        this.yieldTo(answer.registration);
      },
    );
  }

  /** Refuses; part of an answer is never called not run. */
  refuse(refusal: Refusal): void {
    const { fromOffset } = this.request;
    const partly = fromOffset > 0 || this.relay.nextOffset > fromOffset;
    const told = partly ? refusalOfPart(refusal) : refusal;
    this.options.context.observer.count("refusals", told.reason);
    this.send({ type: "refused", refusal: told });
  }

  /** Ends the attempt, for another one where there is a retry to be had. */
  fail(reason: RetryReason): void {
    if (this.attempt?.failedAt) this.avoid.add(this.attempt.failedAt.id);
    if (this.mayRetry(reason)) this.send({ type: "failed" });
  }

  /** Refuses where there is no retry to be had. */
  mayRetry(reason: RetryReason): boolean {
    const { retries } = this.options;
    const { workspace } = this.request;
    if (!this.relay.canRestart) {
      this.refuse(mayHaveRun("engine-crashed", LOST));
    } else if (this.leftMs() < LEAST_ATTEMPT_MS) {
      this.refuse(notRun("deadline-unreachable"));
    } else if (reason !== "home-changed" && !retries.take(workspace, reason)) {
      this.refuse(notRun("retry-budget-spent"));
    } else return true;
    return false;
  }

  /** Notes that a replica was ordered to run the request. */
  noteStart(attempt: Attempt, endpoint: Endpoint): void {
    if (!attempt.suspect) return;
    this.options.suspects.started(attempt.suspect, endpoint.id);
  }

  /** Notes that a replica died with the request in flight. */
  noteCrash(attempt: Attempt, endpoint: Endpoint): void {
    attempt.failedAt = endpoint;
    if (!attempt.suspect) return;
    this.options.suspects.crashed(attempt.suspect, endpoint.id);
  }

  /** Ends the run here; another owner has the key, and the run too if `keepsRun`. */
  supersede(keepsRun: boolean): void {
    const refusal = mayHaveRun("superseded");
    this.send({ type: "superseded", refusal, keepsRun });
    const attempt = this.attempt;
    if (!keepsRun || !attempt) return;
    for (const holder of attempt.holders) {
      this.options.handOvers.watch(holder, attempt.stream);
    }
    if (attempt.suspect) this.options.suspects.released(attempt.suspect);
    if (attempt.hold) this.options.grants.handOver(attempt.hold);
  }

  /** Ends the run here for an owner with a newer registration. */
  yieldTo(newer: Registration): void {
    if (newer.bodyDigest !== this.bodyDigest) {
      return this.refuse(notRun("key-reused"));
    }
    this.supersede(newer.run?.stream === this.attempt?.stream);
  }

  /** Tells the shard home how the attempt goes on. */
  tell(attempt: Attempt, progress: GrantProgress): void {
    if (attempt.hold) this.options.grants.tell(attempt.hold, progress);
  }

  /** Each attempt asks under a key of its own, so that a late withdrawal can't meet the next. */
  grantKey(attempt: Attempt): RequestKey {
    return asId(`${this.key}@${attempt.stream}`);
  }

  /** What each engine is told of the attempt. */
  order(attempt: Attempt): PrefillOrder {
    return {
      stream: attempt.stream,
      key: engineKey(this.key, this.bodyDigest),
      owner: this.registration().owner,
      model: this.request.model,
      prompt: this.prompt,
      priority: PRIORITY,
    };
  }

  /** Handles an answer, unless the run has gone on meanwhile. */
  after<T>(
    promise: Promise<T>,
    handle: (value: T) => void,
    onStale?: (value: T) => void,
  ): void {
    this.stage += 1;
    const stage = this.stage;
    const { watch, context } = this.options;
    void promise.then((value) => {
      watch.check();
      if (stage === this.stage) return handle(value);
      context.observer.count("stale_answers", "stage");
      onStale?.(value);
    });
  }

  /** Feeds the machine an event after a while. */
  waitFor(waitMs: number, event: SummaryMachineEvent): void {
    const waited = new Promise<void>((resolve) => setTimeout(resolve, waitMs));
    this.after(waited, () => this.send(event));
  }

  /** Time left until the caller stops waiting. */
  leftMs(): number {
    return Math.max(0, this.deadlineAtMs - performance.now());
  }

  /** Time within which the first token is due. */
  firstTokenTargetMs(): number {
    return this.deployment()?.firstTokenTargetMs ?? DEFAULT_FIRST_TOKEN_MS;
  }

  /** The deployment's settings in force. */
  deployment() {
    return this.options.configuration.current()?.bodies.deployment;
  }

  /** The endpoints in force. */
  endpoints(): readonly Endpoint[] {
    return this.options.configuration.current()?.bodies.endpoints ?? [];
  }

  /** Finds an endpoint in force. */
  endpoint(id: EndpointId): Endpoint | null {
    return this.endpoints().find((one) => one.id === id) ?? null;
  }

  /** Frees what the attempt holds anywhere. */
  abandon(): void {
    const attempt = this.attempt;
    if (!attempt) return;
    this.attempt = null;
    const { cancels, grants, suspects } = this.options;
    for (const holder of attempt.holders) {
      cancels.cancel(holder, attempt.stream);
    }
    if (!attempt.hold) {
      if (attempt.asked) grants.withdraw(attempt.asked);
    } else this.tell(attempt, this.#lastProgress(attempt));
    if (attempt.suspect) suspects.released(attempt.suspect);
  }

  #lastProgress(attempt: Attempt): GrantProgress {
    return attempt.failedAt
      ? { kind: "failed", endpoint: attempt.failedAt.id }
      : { kind: "ended", generatedTokens: this.relay.nextOffset };
  }

  /** Tells the key's home that the key is free again. */
  forget(): void {
    if (!this.owns) return;
    this.owns = false;
    const { registrar } = this.options;
    void registrar.register(this.registration("cancelled"), true);
  }
}

/** When a request's caller stops waiting, on the clock of `performance.now`. */
export function deadlineOf(request: SummaryRequest): number {
  return performance.now() + request.deadlineAtMs - Date.now();
}

/** Says of a request that was answered in part what else would say that it did not run. */
function refusalOfPart(refusal: Refusal): Refusal {
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
      return mayHaveRun("engine-crashed", `${LOST}: ${refusal.reason}`);
  }
}
