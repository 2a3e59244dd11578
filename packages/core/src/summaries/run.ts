/** Runs one summary at the VM that owns it: executes its machine's effects. */
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
      /** Called when the run has ended. */
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
        perform: (effect) => this.#execute(effect),
      }),
    );
  }

  /** The summary's key. */
  get key(): RequestKey {
    return this.#state.key;
  }

  /**
   * Distinguishes a resend from a request with another body under the same key.
   */
  get bodyDigest() {
    return this.#state.bodyDigest;
  }

  /**
   * Number of the caller's current connection; a newer one has a higher number.
   */
  get connectionNumber(): number {
    return this.#connection;
  }

  /** Sends an event to the state machine. */
  send(event: SummaryMachineEvent): void {
    this.#state.send(event);
  }

  /**
   * Switches to a newer connection of the same caller and closes the older one.
   */
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

  /**
   * Hands over the run to an owner with a higher epoch. Returns null when
   * `epoch` isn't higher. `stream` is described at {@link HandoverParams}.
   */
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

  /** Whether the current attempt of this run has the stream id. */
  holdsStream(stream: StreamId): boolean {
    return this.#state.attempt?.stream === stream;
  }

  /**
   * Whether a key given by an operator denotes this summary. Summary keys,
   * engine keys and request keys are accepted.
   */
  matchesKey(key: RequestKey): boolean {
    const { workspace, request } = this.#state.request;
    return [
      this.#state.key,
      engineKey(this.#state.key, this.#state.bodyDigest),
      requestKey(workspace, request),
    ].includes(key);
  }

  /** Ends the run after its caller has disconnected. */
  disconnect(): void {
    this.#state.relay.close();
    this.#state.send({ type: "left" });
  }

  /**
   * Registers again, as a new membership view may have changed the key's home.
   */
  registerAgain(): void {
    this.#state.updateRegistration();
  }

  /** Pauses the events for a caller that reads slowly. */
  pause(): void {
    this.#engine.pause();
  }

  /** Resumes the events. */
  resume(): void {
    this.#engine.resume();
  }

  /**
   * Checks for a deadline that has passed and for a stream without progress.
   */
  tick(nowMs: number): void {
    if (nowMs < this.#state.deadlineAtMs) return this.#engine.tick(nowMs);
    this.#state.refuse(notRun("deadline-passed"));
  }

  #execute(effect: Effect): void {
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
