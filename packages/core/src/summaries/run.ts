/** One summary at the VM that owns it: carries out what its machine decides. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { Endpoint } from "../configuration/types.ts";
import type { GrantProgress, GrantRequest } from "../grants/types.ts";
import type {
  Attachment,
  EngineFailure,
  PrefillOrder,
  Prompt,
  StreamEvent,
} from "../ports/engines.ts";
import type { RetryBudget, RetryReason } from "../retries/budget.ts";
import { backOffMs } from "../retries/budget.ts";
import {
  asId,
  type Digest,
  type EndpointId,
  type RequestKey,
  requestKey,
  type StreamId,
} from "../shared/ids.ts";
import { type Effect, MachineTask } from "../shared/machine_task.ts";
import { mayHaveRun, notRun, type Refusal } from "../shared/verdict.ts";
import type { SuspectBook } from "../suspects/book.ts";
import { suspectHash } from "../suspects/book.ts";
import type { SuspectHash } from "../suspects/types.ts";
import type { VmContext } from "../vm/types.ts";
import {
  type AdmissionOptions,
  type AdmissionOutcome,
  admitAttempt,
  returnAdmission,
} from "./admission.ts";
import {
  adoptAttempt,
  type Attempt,
  createAttempt,
  locationOf,
} from "./attempt.ts";
import type { CancelBook } from "./cancels.ts";
import { type FailureStage, planAfterFailure } from "./failures.ts";
import type { FreezeWatch } from "./freeze_watch.ts";
import type { GrantsClient } from "./grants_client.ts";
import { engineKey, summaryBody, summaryDigest, summaryKey } from "./keys.ts";
import {
  MAX_ATTACHES,
  summaryMachine,
  type SummaryMachineEvent,
} from "./machine.ts";
import type { SummaryPolicies } from "./policies.ts";
import { measurePrompt } from "./prompt.ts";
import type { Claim, Registrar } from "./registrar.ts";
import { AnswerRelay, type RelayOutcome } from "./relay.ts";
import type {
  Registration,
  RunLocation,
  SummaryRequest,
  SummarySink,
} from "./types.ts";

/** What a summary is run with. */
export interface SummaryRunOptions {
  context: VmContext;
  configuration: ConfigurationView;
  registrar: Registrar;
  grants: GrantsClient;
  cancels: CancelBook;
  suspects: SuspectBook;
  retries: RetryBudget;
  policies: SummaryPolicies;
  watch: FreezeWatch;
  nextStream: () => StreamId;
  /** Told once the run is over. */
  onClosed: (run: SummaryRun) => void;
}

const DEFAULT_FIRST_TOKEN_MS = 610;
const DEFAULT_BETWEEN_TOKENS_MS = 28;
/** Token intervals without a token after which a stream counts as stalled. */
const STALL_INTERVALS = 10;
const LEAST_STALL_MS = 300;
/** A stream that was attached again gets this many times longer. */
const STALL_GROWTH = 4;
const PREFILL_BASE_TIMEOUT_MS = 1_000;
const PREFILL_TIMEOUT_PER_TOKEN_MS = 0.1;
const TRANSFER_BASE_TIMEOUT_MS = 300;
/** The slowest rate at which a transfer counts as moving. */
const LEAST_TRANSFER_BYTES_PER_MS = 5_000_000;
/** An attempt needs at least this long. */
const LEAST_ATTEMPT_MS = 300;
const VERIFY_ATTEMPTS = 3;
const VERIFY_INTERVAL_MS = 200;
const PRIORITY = 5;
const CRASH_PROBE_TIMEOUT_MS = 300;
const LOST =
  "The replica that generated this answer was lost; ask again from the start";
const DIVERGED =
  "The replica that generated this answer was lost and a new run gives other text; ask again from the start";

/** Owns one summary from its registration to its last event. */
export class SummaryRun {
  readonly key: RequestKey;
  readonly bodyDigest: Digest;
  readonly relay: AnswerRelay;
  #options: SummaryRunOptions;
  #request: SummaryRequest;
  #hash: SuspectHash;
  #prompt: Prompt;
  #machine: MachineTask<typeof summaryMachine>;
  #epoch = Date.now();
  #connection = 1;
  #attempt: Attempt | null = null;
  #attachment: Attachment | null = null;
  /** Counts stages, so that answers to an earlier one are told apart. */
  #stage = 0;
  #progressAtMs = performance.now();
  #progressed = false;
  #stallFactor = 1;
  #paused = false;
  #deadlineAtMs: number;
  #firstTokenAtMs: number;
  #avoid = new Set<EndpointId>();
  #backOffAtLeastMs = 0;
  #startInMs = 0;

  constructor(
    request: SummaryRequest,
    options: SummaryRunOptions & { sink: SummarySink },
  ) {
    this.#options = options;
    this.#request = request;
    this.key = summaryKey(request);
    this.bodyDigest = summaryDigest(request);
    this.#hash = suspectHash(request.workspace, summaryBody(request));
    this.#prompt = measurePrompt(request.prompt);
    this.#deadlineAtMs = deadlineOf(request);
    this.#firstTokenAtMs = performance.now() + this.#firstTokenTargetMs();
    this.relay = new AnswerRelay({
      sink: options.sink,
      fromOffset: request.fromOffset,
      dropsStale: options.policies.dropsStaleEvents,
    });
    this.#machine = new MachineTask(summaryMachine, {
      input: undefined as never,
      perform: (effect) => this.#perform(effect),
    });
  }

  /** Numbers the caller's connection that is served. */
  get connection(): number {
    return this.#connection;
  }

  /** This VM's claim as the key's home keeps it. */
  registration(state: Registration["state"] = "running"): Registration {
    const { identity } = this.#options.context;
    return {
      key: this.key,
      caller: this.#request.caller,
      bodyDigest: this.bodyDigest,
      owner: { vm: identity.id, incarnation: identity.incarnation },
      epoch: this.#epoch,
      state,
      run: this.#attempt && locationOf(this.#attempt),
    };
  }

  /** Feeds the machine. */
  send(event: SummaryMachineEvent): void {
    this.#machine.send(event);
  }

  /** Serves a newer connection of the same caller; the older one is closed. */
  reconnect(request: SummaryRequest, sink: SummarySink): void {
    this.#connection += 1;
    this.#epoch = Math.max(this.#epoch + 1, Date.now());
    this.#paused = false;
    this.#deadlineAtMs = deadlineOf(request);
    this.#request = request;
    this.relay.reconnect(
      { sink, fromOffset: request.fromOffset },
      mayHaveRun("superseded"),
    );
    this.update();
    this.send({ type: "reconnected" });
  }

  /** Hands the run to an owner with a higher epoch. */
  handOver(
    epoch: number,
    stream: StreamId | null | undefined,
  ): Registration | null {
    if (epoch <= this.#epoch) return null;
    const decoding = this.#machine.snapshot.context.decoding;
    const keepsRun = stream === undefined
      ? decoding
      : stream === this.#attempt?.stream;
    const registration = {
      ...this.registration(),
      run: keepsRun ? this.registration().run : null,
    };
    this.#supersede(keepsRun);
    return registration;
  }

  /** Whether an operator's name for a summary means this one. */
  hasName(key: RequestKey): boolean {
    const { workspace, request } = this.#request;
    return [
      this.key,
      engineKey(this.key, this.bodyDigest),
      requestKey(workspace, request),
    ].includes(key);
  }

  /** Tells the key's home where the run is now. */
  update(): void {
    void this.#options.registrar.register(this.registration(), true).then(
      (answer) => {
        if (answer?.kind !== "exists" || this.relay.ended) return;
        this.#yieldTo(answer.registration);
      },
    );
  }

  /** The caller is gone. */
  leave(): void {
    this.relay.close();
    this.send({ type: "left" });
  }

  /** Tells a new view's home, once this VM knows itself that the key is its own. */
  registerAgain(): void {
    if (this.#machine.snapshot.value !== "registering") this.update();
  }

  /** Pauses the events for a caller that reads slowly. */
  pause(): void {
    this.#paused = true;
    this.#attachment?.pause();
  }

  /** Lets the events go on. */
  resume(): void {
    this.#paused = false;
    this.#progressAtMs = performance.now();
    this.#attachment?.resume();
  }

  /** Looks for a deadline that has passed and for a stream without progress. */
  tick(nowMs: number): void {
    if (nowMs >= this.#deadlineAtMs) {
      return this.#refuse(notRun("deadline-passed"));
    }
    if (this.#paused) return;
    const silentMs = nowMs - this.#progressAtMs;
    const state = this.#machine.snapshot.value;
    if (state === "starting") {
      if (silentMs > this.#transferLimitMs()) {
        this.#reassignOrFail("transfer-failed");
      }
    } else if (state === "relaying" || state === "attaching") {
      if (silentMs > this.#stallMs()) this.#break();
    }
  }

  #perform(effect: Effect): void {
    const attempt = this.#attempt;
    switch (effect.type) {
      case "register":
        return this.#register();
      case "verify":
        return this.#verify(VERIFY_ATTEMPTS);
      case "askGrant":
        return this.#askGrant();
      case "reassign":
        return this.#reassign(attempt!);
      case "waitForStart":
        return this.#waitFor(this.#startInMs, { type: "due" });
      case "orderPrefill":
        return this.#orderPrefill(attempt!);
      case "startDecode":
        return this.#startDecode(attempt!);
      case "attach":
        return this.#attach(attempt!);
      case "detach":
        return this.#detach();
      case "abandon":
        return this.#abandon();
      case "backOff":
        return this.#backOff(effect.params as { retries: number });
      case "markAnswered":
        return this.#markAnswered();
      case "forget":
        return this.#forget();
      case "tell":
        return this.relay.refuse(
          (effect.params as { refusal: Refusal }).refusal,
        );
      case "close":
        this.#detach();
        this.relay.close();
        return this.#options.onClosed(this);
    }
  }

  #register(): void {
    const { registrar, policies } = this.#options;
    const { fromOffset, model } = this.#request;
    const claimed = registrar.claim(this.registration(), {
      fromOffset,
      model,
      supersedes: policies.supersedes,
    });
    this.#after(claimed, (claim) => this.#takeClaim(claim), (claim) => {
      // The caller went meanwhile; a run that was taken over is freed.
      if (claim.kind !== "located" || !this.relay.ended) return;
      this.#epoch = Math.max(this.#epoch, claim.epoch);
      this.#attempt = this.#adopt(claim.run);
      this.#abandon();
      this.#forget();
    });
  }

  #takeClaim(claim: Claim): void {
    if (claim.kind === "refused") return this.#refuse(claim.refusal);
    this.#epoch = Math.max(this.#epoch, claim.epoch);
    if (claim.kind === "new") {
      this.#options.retries.admitted(this.#request.workspace);
      return this.send({ type: "registered" });
    }
    this.#attempt = adoptAttempt(claim.run, this.#endpoints());
    this.send({ type: this.#attempt.decode ? "located" : "registered" });
  }

  #adopt(run: RunLocation): Attempt {
    const attempt = adoptAttempt(run, this.#endpoints());
    if (!run.grant || !attempt.prefill || !attempt.decode) return attempt;
    attempt.asked = this.#grantRequest(attempt);
    attempt.hold = {
      request: attempt.asked,
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
    this.#options.grants.adopt(attempt.hold);
    return attempt;
  }

  #verify(attemptsLeft: number): void {
    const verified = this.#options.registrar.verify(this.registration());
    this.#after(verified, (answer) => {
      if (answer?.kind === "exists") return this.#yieldTo(answer.registration);
      if (answer || attemptsLeft <= 1) return this.send({ type: "verified" });
      const again = new Promise((resolve) =>
        setTimeout(resolve, VERIFY_INTERVAL_MS)
      );
      this.#after(again, () => this.#verify(attemptsLeft - 1));
    });
  }

  #askGrant(): void {
    this.#abandon();
    const attempt = createAttempt(this.#options.nextStream());
    this.#attempt = attempt;
    this.#admit(attempt);
  }

  #reassign(attempt: Attempt): void {
    const { cancels, grants } = this.#options;
    const { decode, hold } = attempt;
    if (decode) {
      this.#avoid.add(decode.id);
      attempt.holders.delete(decode);
      cancels.cancel(decode, attempt.stream);
    }
    if (decode && hold) {
      grants.tell(hold, { kind: "failed", endpoint: decode.id });
    }
    if (attempt.suspect) this.#options.suspects.released(attempt.suspect);
    attempt.hold = null;
    attempt.suspect = null;
    this.#admit(attempt);
  }

  #admit(attempt: Attempt): void {
    const { grants, suspects, policies } = this.#options;
    attempt.asked = this.#grantRequest(attempt);
    const options: AdmissionOptions = {
      suspects,
      grants,
      hash: this.#hash,
      convicts: policies.convicts,
      request: attempt.asked,
    };
    this.#after(
      admitAttempt(options),
      (outcome) => this.#take(attempt, outcome),
      (outcome) => returnAdmission(outcome, options),
    );
  }

  #grantRequest(attempt: Attempt): GrantRequest {
    const { model, workspace, maxTokens } = this.#request;
    return {
      key: this.#grantKey(attempt),
      stream: attempt.stream,
      owner: this.#options.context.identity.id,
      workspace,
      model,
      promptTokens: this.#prompt.tokens,
      blocks: this.#prompt.blocks,
      maxTokens,
      firstTokenInMs: this.#firstTokenAtMs - performance.now(),
      deadlineInMs: this.#leftMs(),
      avoid: [...this.#avoid],
      alone: false,
    };
  }

  #take(attempt: Attempt, outcome: AdmissionOutcome): void {
    if (outcome.kind === "refused") return this.#refuse(outcome.refusal);
    if (outcome.kind === "unanswered") return this.#fail("home-changed");
    if (outcome.kind === "busy") return this.#waitForSuspect(outcome);
    const { hold, suspect } = outcome;
    const { granted } = hold;
    attempt.hold = hold;
    attempt.suspect = suspect;
    attempt.prefill ??= this.#endpoint(granted.prefill);
    attempt.decode = this.#endpoint(granted.decode);
    this.#startInMs = granted.startInMs;
    if (!attempt.prefill || !attempt.decode) {
      return this.#refuse(notRun("no-endpoint"));
    }
    this.update();
    this.send({ type: "granted" });
  }

  #waitForSuspect(busy: { retryAfterMs: number }): void {
    const { retryAfterMs } = busy;
    if (this.#leftMs() < retryAfterMs + LEAST_ATTEMPT_MS) {
      return this.#refuse(notRun("suspect-busy", { retryAfterMs }));
    }
    this.#backOffAtLeastMs = retryAfterMs;
    this.send({ type: "failed" });
  }

  #orderPrefill(attempt: Attempt): void {
    const prefill = attempt.prefill!;
    attempt.holders.add(prefill);
    this.#noteStart(attempt, prefill);
    this.#tell(attempt, { kind: "prefillStarted" });
    const wantedMs = PREFILL_BASE_TIMEOUT_MS +
      this.#prompt.tokens * PREFILL_TIMEOUT_PER_TOKEN_MS;
    const { engines } = this.#options.context.ports;
    const done = engines.prefill(prefill, this.#order(attempt), {
      timeoutMs: Math.min(wantedMs, this.#leftMs()),
      fresh: true,
    });
    this.#after(done, (result) => {
      if (result.isErr()) {
        return void this.#prefillFailed(attempt, result.error);
      }
      attempt.keptUntilMs = performance.now() + result.value.keptMs;
      attempt.sizeBytes = result.value.sizeBytes;
      this.#tell(attempt, { kind: "prefillEnded" });
      this.send({ type: "prefilled" });
    });
  }

  #prefillFailed(attempt: Attempt, failure: EngineFailure): void {
    attempt.failedAt = attempt.prefill;
    if (failure.kind !== "lost") {
      return this.#follow(failure, { stage: "prefilling" });
    }
    // A broken connection alone doesn't prove that the replica crashed.
    const { engines } = this.#options.context.ports;
    const probe = engines.report(attempt.prefill!, {
      timeoutMs: CRASH_PROBE_TIMEOUT_MS,
      fresh: true,
    });
    this.#after(probe, (report) => {
      const crashed = report.isErr() && report.error.kind === "notSent";
      if (crashed) this.#noteCrash(attempt, attempt.prefill!);
      this.#fail(crashed ? "engine-crashed" : "connection-lost");
    });
  }

  #startDecode(attempt: Attempt): void {
    const { engines } = this.#options.context.ports;
    const decode = attempt.decode!;
    attempt.holders.add(decode);
    this.#noteStart(attempt, decode);
    this.relay.restart();
    this.#listen((sink) =>
      engines.start(
        decode,
        {
          ...this.#order(attempt),
          from: attempt.prefill!,
          maxTokens: this.#request.maxTokens,
        },
        { timeoutMs: this.#leftMs(), sink },
      )
    );
  }

  #attach(attempt: Attempt): void {
    const { engines } = this.#options.context.ports;
    if (!attempt.decode) return this.#fail("connection-lost");
    this.#listen((sink) =>
      engines.attach(
        attempt.decode!,
        {
          stream: attempt.stream,
          owner: this.registration().owner,
          offset: this.relay.attachOffset,
          epoch: this.#epoch,
        },
        { timeoutMs: this.#leftMs(), sink },
      )
    );
  }

  #listen(open: (sink: (event: StreamEvent) => void) => Attachment): void {
    this.#detach();
    const stage = this.#stage;
    this.#progressAtMs = performance.now();
    this.#progressed = false;
    this.#attachment = open((event) => this.#receive(stage, event));
    if (this.#paused) this.#attachment.pause();
  }

  #receive(stage: number, event: StreamEvent): void {
    const { policies, watch, context } = this.#options;
    const nowMs = watch.check();
    if (policies.dropsStaleEvents && stage !== this.#stage) {
      return context.observer.count("stale_answers", "attachment");
    }
    switch (event.kind) {
      case "tokens":
        return this.#relayed(this.relay.pass(event), nowMs);
      case "end":
        return this.#relayed(this.relay.finish(event), nowMs);
      case "started":
        this.#progressAtMs = nowMs;
        if (this.#machine.snapshot.value === "starting") {
          this.#tell(this.#attempt!, { kind: "decodeStarted" });
          this.#attempt!.holders.delete(this.#attempt!.prefill!);
        }
        return this.send({ type: "started" });
      case "failed":
        return this.#follow(event.failure, {
          stage: this.#machine.snapshot.value as FailureStage,
        });
    }
  }

  #relayed(outcome: RelayOutcome, nowMs: number): void {
    if (outcome === "sent" || outcome === "held") {
      this.#progressAtMs = nowMs;
      this.#progressed = true;
      if (this.relay.ended) this.send({ type: "finished" });
    } else if (outcome === "gap") this.#break();
    else if (outcome === "stale") {
      this.#options.context.observer.count("stale_answers", "offset");
    } else this.#refuse(mayHaveRun("engine-crashed", DIVERGED));
  }

  #follow(failure: EngineFailure, at: { stage: FailureStage }): void {
    const attempt = this.#attempt;
    if (!attempt) return;
    const plan = planAfterFailure(failure, { ...at, lost: attempt.lost });
    attempt.lost ||= failure.kind === "lost";
    switch (plan.kind) {
      case "superseded":
        return this.#supersede(true);
      case "attach":
        return this.#break();
      case "reassign":
        return this.#reassignOrFail(plan.reason);
      case "retry":
        attempt.failedAt ??= attempt.decode;
        if (plan.crashed) this.#noteCrash(attempt, attempt.decode!);
        return this.#fail(plan.reason);
    }
  }

  #reassignOrFail(reason: RetryReason): void {
    const attempt = this.#attempt!;
    const retried = this.#machine.snapshot.context.transferRetried;
    const kept = performance.now() < attempt.keptUntilMs;
    if (kept && !retried && this.#mayRetry(reason)) {
      return this.send({ type: "resultKept" });
    }
    attempt.failedAt = attempt.decode;
    this.#fail(reason);
  }

  #break(): void {
    const progressed = this.#progressed;
    const { attaches } = this.#machine.snapshot.context;
    if (!progressed && attaches >= MAX_ATTACHES) {
      return this.#fail("connection-lost");
    }
    this.#stallFactor = progressed ? 1 : this.#stallFactor * STALL_GROWTH;
    this.send({ type: "broken", progressed });
  }

  #fail(reason: RetryReason): void {
    if (this.#attempt?.failedAt) this.#avoid.add(this.#attempt.failedAt.id);
    if (this.#mayRetry(reason)) this.send({ type: "failed" });
  }

  /** Refuses where there is no retry to be had. */
  #mayRetry(reason: RetryReason): boolean {
    const { retries } = this.#options;
    const { workspace } = this.#request;
    if (!this.relay.canRestart) {
      this.#refuse(mayHaveRun("engine-crashed", LOST));
    } else if (this.#leftMs() < LEAST_ATTEMPT_MS) {
      this.#refuse(notRun("deadline-unreachable"));
    } else if (reason !== "home-changed" && !retries.take(workspace, reason)) {
      this.#refuse(notRun("retry-budget-spent"));
    } else return true;
    return false;
  }

  #backOff(params: { retries: number }): void {
    const { random } = this.#options.context;
    const waitMs = Math.max(
      this.#backOffAtLeastMs,
      backOffMs(params.retries, { random }),
    );
    this.#backOffAtLeastMs = 0;
    // A retry is late already; it is asked for as a new request would be.
    this.#firstTokenAtMs = performance.now() + waitMs +
      this.#firstTokenTargetMs();
    this.#waitFor(waitMs, { type: "due" });
  }

  #abandon(): void {
    const attempt = this.#attempt;
    if (!attempt) return;
    this.#attempt = null;
    const { cancels, grants, suspects } = this.#options;
    for (const holder of attempt.holders) {
      cancels.cancel(holder, attempt.stream);
    }
    if (!attempt.hold) {
      if (attempt.asked) grants.withdraw(attempt.asked);
    } else this.#tell(attempt, this.#lastProgress(attempt));
    if (attempt.suspect) suspects.released(attempt.suspect);
  }

  #lastProgress(attempt: Attempt): GrantProgress {
    return attempt.failedAt
      ? { kind: "failed", endpoint: attempt.failedAt.id }
      : { kind: "ended", generatedTokens: this.relay.nextOffset };
  }

  #markAnswered(): void {
    const attempt = this.#attempt;
    if (!attempt) return;
    const { registrar, suspects } = this.#options;
    this.#tell(attempt, {
      kind: "ended",
      generatedTokens: this.relay.nextOffset,
    });
    if (attempt.suspect) suspects.finished(attempt.suspect);
    void registrar.register(this.registration("answered"), true);
  }

  #forget(): void {
    const { registrar } = this.#options;
    void registrar.register(this.registration("cancelled"), true);
  }

  #detach(): void {
    this.#stage += 1;
    this.#attachment?.detach();
    this.#attachment = null;
  }

  #yieldTo(newer: Registration): void {
    this.#supersede(newer.run?.stream === this.#attempt?.stream);
  }

  #supersede(keepsRun: boolean): void {
    const refusal = mayHaveRun("superseded");
    this.send({ type: "superseded", refusal, keepsRun });
    const attempt = this.#attempt;
    if (!keepsRun || !attempt) return;
    if (attempt.suspect) this.#options.suspects.released(attempt.suspect);
    if (attempt.hold) this.#options.grants.handOver(attempt.hold);
  }

  /** Refuses; part of an answer is never called not run. */
  #refuse(refusal: Refusal): void {
    const { fromOffset } = this.#request;
    const partly = fromOffset > 0 || this.relay.nextOffset > fromOffset;
    const told = partly ? refusalOfPart(refusal) : refusal;
    this.#options.context.observer.count("refusals", told.reason);
    this.send({ type: "refused", refusal: told });
  }

  #noteStart(attempt: Attempt, endpoint: Endpoint): void {
    if (!attempt.suspect) return;
    this.#options.suspects.started(attempt.suspect, endpoint.id);
  }

  #noteCrash(attempt: Attempt, endpoint: Endpoint): void {
    attempt.failedAt = endpoint;
    if (!attempt.suspect) return;
    this.#options.suspects.crashed(attempt.suspect, endpoint.id);
  }

  #tell(attempt: Attempt, progress: GrantProgress): void {
    if (attempt.hold) this.#options.grants.tell(attempt.hold, progress);
  }

  /** Each attempt asks under a key of its own, so that a late withdrawal can't meet the next. */
  #grantKey(attempt: Attempt): RequestKey {
    return asId(`${this.key}@${attempt.stream}`);
  }

  #order(attempt: Attempt): PrefillOrder {
    return {
      stream: attempt.stream,
      key: engineKey(this.key, this.bodyDigest),
      owner: this.registration().owner,
      model: this.#request.model,
      prompt: this.#prompt,
      priority: PRIORITY,
    };
  }

  /** Handles an answer, unless the run has gone on meanwhile. */
  #after<T>(
    promise: Promise<T>,
    handle: (value: T) => void,
    onStale?: (value: T) => void,
  ): void {
    this.#stage += 1;
    const stage = this.#stage;
    const { watch, context } = this.#options;
    void promise.then((value) => {
      watch.check();
      if (stage === this.#stage) return handle(value);
      context.observer.count("stale_answers", "stage");
      onStale?.(value);
    });
  }

  #waitFor(waitMs: number, event: SummaryMachineEvent): void {
    const waited = new Promise<void>((resolve) => setTimeout(resolve, waitMs));
    this.#after(waited, () => this.send(event));
  }

  #leftMs(): number {
    return Math.max(0, this.#deadlineAtMs - performance.now());
  }

  #stallMs(): number {
    const targetMs = this.#deployment()?.betweenTokensTargetMs ??
      DEFAULT_BETWEEN_TOKENS_MS;
    return Math.max(LEAST_STALL_MS, STALL_INTERVALS * targetMs) *
      this.#stallFactor;
  }

  #transferLimitMs(): number {
    return TRANSFER_BASE_TIMEOUT_MS +
      this.#attempt!.sizeBytes / LEAST_TRANSFER_BYTES_PER_MS;
  }

  #firstTokenTargetMs(): number {
    return this.#deployment()?.firstTokenTargetMs ?? DEFAULT_FIRST_TOKEN_MS;
  }

  #deployment() {
    return this.#options.configuration.current()?.bodies.deployment;
  }

  #endpoints(): readonly Endpoint[] {
    return this.#options.configuration.current()?.bodies.endpoints ?? [];
  }

  #endpoint(id: EndpointId): Endpoint | null {
    return this.#endpoints().find((one) => one.id === id) ?? null;
  }
}

function deadlineOf(request: SummaryRequest): number {
  return performance.now() + request.deadlineAtMs - Date.now();
}

/** Says of a request that was answered in part what else would say that it did not run. */
function refusalOfPart(refusal: Refusal): Refusal {
  if (refusal.kind === "mayHaveRun") return refusal;
  switch (refusal.reason) {
    case "key-reused":
    case "not-found":
      return refusal;
    case "deadline-passed":
    case "deadline-unreachable":
      return mayHaveRun("deadline-passed");
    default:
      return mayHaveRun("engine-crashed", `${LOST}: ${refusal.reason}`);
  }
}
