/**
 * Runs an attempt at the engines, from prefill to relay, and handles failures.
 */
import type {
  Attachment,
  EngineFailure,
  StreamEvent,
} from "../ports/engines.ts";
import type { RetryReason } from "../retries/budget.ts";
import { mayHaveRun } from "../common/verdict.ts";
import type { Attempt } from "./attempt.ts";
import { type FailureState, planAfterFailure } from "./failures.ts";
import { MAX_ATTACHES } from "./machine.ts";
import type { RelayOutcome } from "./relay.ts";
import type { RunState } from "./run_state.ts";

const DEFAULT_BETWEEN_TOKENS_TARGET_MS = 28;
/** Target intervals without a token after which a stream counts as stalled. */
const STALL_INTERVALS = 10;
const MIN_STALL_MS = 300;
/**
 * The stall limit is multiplied by this after each attachment without progress.
 */
const STALL_FACTOR_GROWTH = 4;
const PREFILL_BASE_TIMEOUT_MS = 1_000;
const PREFILL_TIMEOUT_PER_TOKEN_MS = 0.1;
const TRANSFER_BASE_TIMEOUT_MS = 300;
/** The lowest transfer rate at which a transfer doesn't time out. */
const MIN_TRANSFER_BYTES_PER_MS = 5_000_000;
const CRASH_PROBE_TIMEOUT_MS = 300;
const DIVERGED_DETAIL =
  "The replica that generated this answer was lost and a new run gives other text; ask again from the start";

/** Owns the attachment to the engine that generates the answer. */
export class EngineStage {
  #state: RunState;
  #attachment: Attachment | null = null;
  #progressAtMs = performance.now();
  #progressed = false;
  #stallFactor = 1;
  #paused = false;

  constructor(state: RunState) {
    this.#state = state;
  }

  /**
   * Resets pause and stall limit for a newer connection of the caller, which
   * isn't paused.
   */
  reconnect(): void {
    this.#paused = false;
    this.#stallFactor = 1;
  }

  /** Pauses the events for a caller that reads slowly. */
  pause(): void {
    this.#paused = true;
    this.#attachment?.pause();
  }

  /** Resumes the events. */
  resume(): void {
    this.#paused = false;
    this.#progressAtMs = performance.now();
    this.#attachment?.resume();
  }

  /** Checks for a stream or a transfer without progress. */
  tick(nowMs: number): void {
    if (this.#paused) return;
    const idleMs = nowMs - this.#progressAtMs;
    const { stateName } = this.#state;
    if (stateName === "starting") {
      if (idleMs > this.#transferLimitMs()) this.#handleSlowTransfer(nowMs);
    } else if (stateName === "relaying" || stateName === "attaching") {
      if (idleMs > this.#stallMs()) this.#handleStall();
    }
  }

  /** Orders the prefill and reports its start and end to the shard's home. */
  orderPrefill(attempt: Attempt): void {
    const prefill = attempt.prefill!;
    attempt.holders.add(prefill);
    this.#state.recordStart(attempt, prefill);
    this.#state.reportProgress(attempt, { kind: "prefillStarted" });
    const limitMs = PREFILL_BASE_TIMEOUT_MS +
      this.#state.prompt.tokens * PREFILL_TIMEOUT_PER_TOKEN_MS;
    const { engines } = this.#state.options.context.ports;
    const done = engines.prefill(prefill, this.#state.buildOrder(attempt), {
      timeoutMs: Math.min(limitMs, this.#state.remainingMs()),
      fresh: true,
    });
    this.#state.handleUnlessStale(done, (result) => {
      if (result.isErr()) {
        return void this.#handlePrefillFailure(attempt, result.error);
      }
      attempt.keptUntilMs = performance.now() + result.value.keptMs;
      attempt.sizeBytes = result.value.sizeBytes;
      this.#state.reportProgress(attempt, { kind: "prefillEnded" });
      this.#state.send({ type: "prefilled" });
    });
  }

  /** Starts the run at the decode replica. */
  startDecode(attempt: Attempt): void {
    const { engines } = this.#state.options.context.ports;
    const decode = attempt.decode!;
    attempt.holders.add(decode);
    this.#state.recordStart(attempt, decode);
    this.#state.relay.restart();
    this.#openAttachment((sink) =>
      engines.start(
        decode,
        {
          ...this.#state.buildOrder(attempt),
          from: attempt.prefill!,
          maxTokens: this.#state.request.maxTokens,
        },
        { timeoutMs: this.#state.remainingMs(), sink },
      )
    );
  }

  /** Attaches to the run at the next token that the relay needs. */
  attach(attempt: Attempt): void {
    const { engines } = this.#state.options.context.ports;
    if (!attempt.decode) return this.#state.fail("connection-lost");
    this.#openAttachment((sink) =>
      engines.attach(
        attempt.decode!,
        {
          stream: attempt.stream,
          owner: this.#state.registration().owner,
          offset: this.#state.relay.attachOffset,
          epoch: this.#state.epoch,
        },
        { timeoutMs: this.#state.remainingMs(), sink },
      )
    );
  }

  /** Closes the attachment; its later events are stale. */
  detach(): void {
    this.#state.operationNumber += 1;
    this.#attachment?.detach();
    this.#attachment = null;
  }

  /**
   * Reports to shard home, suspect registry and key home that the answer is
   * complete.
   */
  markAnswered(): void {
    const attempt = this.#state.attempt;
    if (!attempt) return;
    const { registrar, suspects } = this.#state.options;
    this.#state.reportProgress(attempt, {
      kind: "ended",
      generatedTokens: this.#state.relay.nextOffset,
    });
    if (attempt.suspect) suspects.finished(attempt.suspect);
    void registrar.register(this.#state.registration("answered"), true);
  }

  #handlePrefillFailure(attempt: Attempt, failure: EngineFailure): void {
    attempt.failedReplica = attempt.prefill;
    if (failure.kind !== "lost") {
      return this.#handleFailure(failure, { state: "prefilling" });
    }
    // A lost connection alone doesn't prove that the replica crashed.
    const { engines } = this.#state.options.context.ports;
    const probe = engines.report(attempt.prefill!, {
      timeoutMs: CRASH_PROBE_TIMEOUT_MS,
      fresh: true,
    });
    this.#state.handleUnlessStale(probe, (report) => {
      const crashed = report.isErr() && report.error.kind === "notSent";
      if (crashed) this.#state.recordCrash(attempt, attempt.prefill!);
      this.#state.fail(crashed ? "engine-crashed" : "connection-lost");
    });
  }

  #openAttachment(
    open: (sink: (event: StreamEvent) => void) => Attachment,
  ): void {
    this.detach();
    const operation = this.#state.operationNumber;
    this.#progressAtMs = performance.now();
    this.#progressed = false;
    this.#attachment = open((event) => this.#receive(operation, event));
    if (this.#paused) this.#attachment.pause();
  }

  #receive(operation: number, event: StreamEvent): void {
    const { policies, freezeDetector, context } = this.#state.options;
    const nowMs = freezeDetector.check();
    if (policies.isStale(operation, this.#state.operationNumber)) {
      return context.observer.count("stale_answers", "attachment");
    }
    switch (event.kind) {
      case "tokens":
        return this.#handleRelayOutcome(
          this.#state.relay.relayTokens(event),
          nowMs,
        );
      case "end":
        return this.#handleRelayOutcome(
          this.#state.relay.relayEnd(event),
          nowMs,
        );
      case "started":
        this.#progressAtMs = nowMs;
        if (this.#state.stateName === "starting") {
          this.#state.reportProgress(this.#state.attempt!, {
            kind: "decodeStarted",
          });
          this.#state.attempt!.holders.delete(this.#state.attempt!.prefill!);
        }
        return this.#state.send({ type: "started" });
      case "failed":
        return this.#handleFailure(event.failure, {
          state: this.#state.stateName as FailureState,
        });
    }
  }

  #handleRelayOutcome(outcome: RelayOutcome, nowMs: number): void {
    if (outcome === "sent" || outcome === "held") {
      this.#progressAtMs = nowMs;
      this.#progressed = true;
      if (this.#state.relay.ended) this.#state.send({ type: "finished" });
    } else if (outcome === "gap") this.#handleBroken();
    else if (outcome === "stale") {
      this.#state.options.context.observer.count("stale_answers", "offset");
    } else this.#state.refuse(mayHaveRun("engine-crashed", DIVERGED_DETAIL));
  }

  #handleFailure(failure: EngineFailure, run: { state: FailureState }): void {
    const attempt = this.#state.attempt;
    if (!attempt) return;
    const plan = planAfterFailure(failure, {
      ...run,
      lost: attempt.connectionLost,
    });
    attempt.connectionLost ||= failure.kind === "lost";
    switch (plan.kind) {
      case "superseded":
        return this.#state.supersede(true);
      case "attach":
        return this.#handleBroken();
      case "reassign":
        return this.#reassignOrFail(plan.reason);
      case "retry":
        attempt.failedReplica ??= attempt.decode;
        if (plan.crashed) this.#state.recordCrash(attempt, attempt.decode!);
        return this.#state.fail(plan.reason);
    }
  }

  #reassignOrFail(reason: RetryReason): void {
    const attempt = this.#state.attempt!;
    if (this.#mayReassign(attempt) && this.#state.acquireRetry(reason)) {
      return this.#state.send({ type: "resultKept" });
    }
    attempt.failedReplica = attempt.decode;
    this.#state.fail(reason);
  }

  #mayReassign(attempt: Attempt): boolean {
    const { transferRetried } = this.#state.machineContext;
    return !transferRetried && performance.now() < attempt.keptUntilMs;
  }

  /** Without a retry, waits on, as slowness doesn't prove that the transfer failed. */
  #handleSlowTransfer(nowMs: number): void {
    this.#progressAtMs = nowMs;
    const attempt = this.#state.attempt!;
    if (!this.#state.tryAcquireRetry("transfer-failed")) return;
    if (this.#mayReassign(attempt)) {
      return this.#state.send({ type: "resultKept" });
    }
    attempt.failedReplica = attempt.decode;
    this.#state.restart();
  }

  /**
   * Restarts a run that stays silent if a retry is available. As silence doesn't
   * prove that the run is lost, it is attached to again otherwise.
   */
  #handleStall(): void {
    if (this.#mayAttach() || !this.#restartIfAllowed()) this.#attachAgain();
  }

  /**
   * Handles an attachment that ended or lacks tokens. After `MAX_ATTACHES` and
   * without a retry, `tick` attaches again after the shortest stall limit.
   */
  #handleBroken(): void {
    if (this.#mayAttach()) return this.#attachAgain();
    if (this.#restartIfAllowed()) return;
    this.detach();
    this.#progressAtMs = performance.now();
    this.#stallFactor = 1;
  }

  #mayAttach(): boolean {
    const { attaches } = this.#state.machineContext;
    return this.#progressed || attaches < MAX_ATTACHES;
  }

  #restartIfAllowed(): boolean {
    if (!this.#state.tryAcquireRetry("connection-lost")) return false;
    this.#state.restart();
    return true;
  }

  #attachAgain(): void {
    const progressed = this.#progressed;
    this.#stallFactor = progressed
      ? 1
      : this.#stallFactor * STALL_FACTOR_GROWTH;
    this.#state.send({ type: "broken", progressed });
  }

  #stallMs(): number {
    const targetMs = this.#state.deployment()?.betweenTokensTargetMs ??
      DEFAULT_BETWEEN_TOKENS_TARGET_MS;
    return Math.max(MIN_STALL_MS, STALL_INTERVALS * targetMs) *
      this.#stallFactor;
  }

  #transferLimitMs(): number {
    return TRANSFER_BASE_TIMEOUT_MS +
      this.#state.attempt!.sizeBytes / MIN_TRANSFER_BYTES_PER_MS;
  }
}
