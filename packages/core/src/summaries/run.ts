/** One summary at the VM that owns it: carries out what its machine decides. */
import { type RequestKey, requestKey, type StreamId } from "../common/ids.ts";
import { type Effect, MachineTask } from "../common/machine_task.ts";
import { mayHaveRun, notRun, type Refusal } from "../common/verdict.ts";
import { AdmissionStage } from "./admission_stage.ts";
import { ClaimStage } from "./claim_stage.ts";
import { EngineStage } from "./engine_stage.ts";
import { engineKey } from "./keys.ts";
import { summaryMachine, type SummaryMachineEvent } from "./machine.ts";
import { deadlineOf, RunState, type SummaryRunOptions } from "./run_state.ts";
import type { Registration, SummaryRequest, SummarySink } from "./types.ts";

/** Owns one summary from its registration to its last event. */
export class SummaryRun {
  #state: RunState;
  #claim: ClaimStage;
  #admission: AdmissionStage;
  #engine: EngineStage;
  #onClosed: (run: SummaryRun) => void;
  #connection = 1;

  constructor(
    request: SummaryRequest,
    options: SummaryRunOptions & {
      sink: SummarySink;
      /** Told once the run is over. */
      onClosed: (run: SummaryRun) => void;
    },
  ) {
    this.#onClosed = options.onClosed;
    this.#state = new RunState(request, options);
    this.#admission = new AdmissionStage(this.#state);
    this.#claim = new ClaimStage(this.#state, this.#admission);
    this.#engine = new EngineStage(this.#state);
    this.#state.setMachine(
      new MachineTask(summaryMachine, {
        input: undefined as never,
        perform: (effect) => this.#perform(effect),
      }),
    );
  }

  /** The summary's key. */
  get key(): RequestKey {
    return this.#state.key;
  }

  /** Tells a resend from another body under the same key. */
  get bodyDigest() {
    return this.#state.bodyDigest;
  }

  /** Numbers the caller's connection that is served. */
  get connectionNumber(): number {
    return this.#connection;
  }

  /** Feeds the machine. */
  send(event: SummaryMachineEvent): void {
    this.#state.send(event);
  }

  /** Serves a newer connection of the same caller; the older one is closed. */
  reconnect(request: SummaryRequest, sink: SummarySink): void {
    this.#connection += 1;
    this.#state.epoch = Math.max(this.#state.epoch + 1, Date.now());
    this.#engine.reconnect();
    this.#state.deadlineAtMs = deadlineOf(request);
    this.#state.request = request;
    this.#state.relay.reconnect(
      { sink, fromOffset: request.fromOffset },
      mayHaveRun("superseded"),
    );
    this.#state.updateRegistration();
    this.#state.send({ type: "reconnected" });
  }

  /** Hands the run to an owner with a higher epoch. */
  handOver(
    epoch: number,
    stream: StreamId | null | undefined,
  ): Registration | null {
    if (epoch <= this.#state.epoch) return null;
    const decoding = this.#state.machineContext.decoding;
    const keepsRun = stream === undefined
      ? decoding
      : stream === this.#state.attempt?.stream;
    const registration = {
      ...this.#state.registration(),
      run: keepsRun ? this.#state.registration().run : null,
    };
    this.#state.supersede(keepsRun);
    return registration;
  }

  /** Whether this run is what an engine lists under a stream. */
  holdsStream(stream: StreamId): boolean {
    return this.#state.attempt?.stream === stream;
  }

  /** Whether an operator's name for a summary means this one. */
  matchesKey(key: RequestKey): boolean {
    const { workspace, request } = this.#state.request;
    return [
      this.#state.key,
      engineKey(this.#state.key, this.#state.bodyDigest),
      requestKey(workspace, request),
    ].includes(key);
  }

  /** The caller is gone. */
  disconnect(): void {
    this.#state.relay.close();
    this.#state.send({ type: "left" });
  }

  /** Tells a new view's home. */
  registerAgain(): void {
    this.#state.updateRegistration();
  }

  /** Pauses the events for a caller that reads slowly. */
  pause(): void {
    this.#engine.pause();
  }

  /** Lets the events go on. */
  resume(): void {
    this.#engine.resume();
  }

  /** Looks for a deadline that has passed and for a stream without progress. */
  tick(nowMs: number): void {
    if (nowMs < this.#state.deadlineAtMs) return this.#engine.tick(nowMs);
    this.#state.refuse(notRun("deadline-passed"));
  }

  #perform(effect: Effect): void {
    const attempt = this.#state.attempt;
    switch (effect.type) {
      case "register":
        return this.#claim.register();
      case "verify":
        return this.#claim.verify();
      case "askGrant":
        return this.#admission.requestGrant();
      case "reassign":
        return this.#admission.reassign(attempt!);
      case "waitForStart":
        return this.#admission.waitForStart();
      case "orderPrefill":
        return this.#engine.orderPrefill(attempt!);
      case "startDecode":
        return this.#engine.startDecode(attempt!);
      case "attach":
        return this.#engine.attach(attempt!);
      case "detach":
        return this.#engine.detach();
      case "abandon":
        return this.#state.abandon();
      case "backOff":
        return this.#admission.backOff(effect.params as { retries: number });
      case "markAnswered":
        return this.#engine.markAnswered();
      case "forget":
        return this.#state.releaseKey();
      case "tell":
        return this.#state.relay.refuse(
          (effect.params as { refusal: Refusal }).refusal,
        );
      case "close":
        this.#engine.detach();
        this.#state.relay.close();
        return this.#onClosed(this);
    }
  }
}
