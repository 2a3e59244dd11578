/**
 * One call at the VM that claims its key: drives the call's state machine and
 * executes its effects.
 */
import { wait } from "../common/wait.ts";
import type { Endpoint, Service } from "../configuration/types.ts";
import type { Row, RowExpectation } from "../ports/platform.ts";
import type { SendFailure } from "../ports/services.ts";
import { asId, type EndpointId, type RequestKey } from "../common/ids.ts";
import { type Effect, MachineTask } from "../common/machine_task.ts";
import {
  mayHaveRun,
  type MayHaveRunReason,
  type NotRun,
  notRun,
} from "../common/verdict.ts";
import type { VmContext } from "../vm/types.ts";
import type { ClaimStore, PendingWrite } from "./commands/claim_store.ts";
import { storeAnswer } from "./commands/stored_answer.ts";
import { callMachine, type CallResult } from "./machine.ts";
import type { CallPolicies } from "./policies.ts";
import type { CallRequest, CallRow, CallRowState, Claim } from "./types.ts";
import { type Waiter, Waiters, type WaitOutcome } from "./waiters.ts";

const SEND_RECHECK_DELAY_MS = 20;
const RETRY_DELAY_MS = 500;
/**
 * How long to wait for the table service to confirm the claim before the call
 * is given up.
 */
const CLAIM_TIMEOUT_MS = 2_500;

/** Options of {@link CallRun}. */
export interface CallRunOptions {
  call: CallRequest;
  key: RequestKey;
  bodyDigest: CallRow["bodyDigest"];
  service: Service;
  /** The row that the claim replaces; null if there is none. */
  previous: Row | null;
  attempt: number;
  expiresAtMs: number;
  token: string;
  store: ClaimStore;
  policies: CallPolicies;
  chooseEndpoint: (tried: ReadonlySet<EndpointId>) => Endpoint | undefined;
  /** Called with each replica that could not be connected to. */
  onUnreachable: (endpoint: EndpointId) => void;
  /** Time since the event loop was last seen to run. */
  eventLoopLagMs: () => number;
  /** Called once the claim has ended and its row is final. */
  onEnd: () => void;
}

/** Owns one claim, from its first write to its last. */
export class CallRun {
  readonly claim: Claim;
  /** Resolves once it is certain whether the claim was written. */
  readonly claimSettled: Promise<void>;
  /**
   * The row that the claim conflicted with; null before a conflict, or if the row was
   * deleted in the meantime.
   */
  conflictingRow: Row | null = null;
  #context: VmContext;
  #options: CallRunOptions;
  #waiters = new Waiters(() => this.#onDeadline());
  #tried = new Set<EndpointId>();
  #endpoint: Endpoint | undefined;
  #pending: PendingWrite | undefined;
  #result: CallResult | undefined;
  #claimTimer: ReturnType<typeof setTimeout> | undefined;
  #machine: MachineTask<typeof callMachine> | undefined;
  #isClaimed = false;
  #markSettled: () => void = () => {};

  constructor(context: VmContext, options: CallRunOptions) {
    this.#context = context;
    this.#options = options;
    this.claimSettled = new Promise((resolve) => (this.#markSettled = resolve));
    const { identity } = context;
    this.claim = {
      vm: identity.id,
      incarnation: identity.incarnation,
      token: options.token,
      claimedAtMs: Date.now(),
    };
  }

  /** Caller and content digest of the claimed call. */
  get callIdentity(): Pick<CallRow, "caller" | "bodyDigest"> {
    const { call, bodyDigest } = this.#options;
    return { caller: call.caller, bodyDigest };
  }

  /** Whether the claim's write was confirmed; stays true after the claim has ended. */
  get isClaimed(): boolean {
    return this.#isClaimed;
  }

  /** Starts the claim for the first connection. */
  start(waiter: Waiter): void {
    this.#waiters.attach(waiter);
    this.#claimTimer = setTimeout(
      () => this.giveUp(this.#storeUnavailable()),
      CLAIM_TIMEOUT_MS,
    );
    const { policies } = this.#options;
    this.#machine = new MachineTask(callMachine, {
      input: { claimsBeforeSend: policies.claimsBeforeSend() },
      perform: (effect) => this.#perform(effect),
    });
    this.#machine.send({ type: "start" });
  }

  /** Makes a newer connection wait for the outcome. */
  attach(waiter: Waiter): void {
    const state = this.#state;
    if (this.#result && state === "recording") {
      return waiter.receive({ ...this.#result, replayed: true });
    }
    this.#waiters.attach(waiter);
  }

  /** Stops waiting for the claim to be confirmed; does nothing once it is. */
  giveUp(refusal: NotRun): void {
    this.#machine?.send({ type: "givenUp", refusal });
  }

  get #state(): string {
    return String(this.#machine?.snapshot.value ?? "claiming");
  }

  #onDeadline(): void {
    this.giveUp(attemptNotRun("deadline-passed"));
    const refusal = this.#state === "sending"
      ? mayHaveRun("deadline-passed")
      : attemptNotRun("deadline-passed");
    this.#waiters.notify({ kind: "refused", refusal, replayed: false });
  }

  #perform(effect: Effect): void {
    switch (effect.type) {
      case "writeClaim":
        return void this.#writeClaim();
      case "withdrawClaim":
        return this.#pending?.withdraw();
      case "checkSend":
        return this.#checkSend();
      case "send":
        return void this.#send();
      case "release":
        return void this.#release();
      case "tell":
        return this.#notify(effect.params as CallResult);
      case "record":
        return void this.#record(effect.params as CallRowState);
    }
  }

  #notify(result: CallResult): void {
    this.#result = result;
    this.#waiters.notify({ ...result, replayed: false });
  }

  async #writeClaim(): Promise<void> {
    const { previous, store } = this.#options;
    const expect: RowExpectation = previous
      ? { kind: "version", version: previous.version }
      : { kind: "absent" };
    this.#pending = store.write({
      row: this.#createRow({ kind: "claimed" }, this.claim.token),
      expect,
      urgent: true,
    });
    const outcome = await this.#pending.outcome;
    clearTimeout(this.#claimTimer);
    this.#context.observer.count("claims", outcome.kind);
    this.#isClaimed = outcome.kind === "written";
    this.#markSettled();
    if (outcome.kind === "conflict") this.conflictingRow = outcome.row;
    const type = { written: "claimed", conflict: "occupied" } as const;
    this.#machine?.send({
      type: outcome.kind === "withdrawn" ? "withdrawn" : type[outcome.kind],
    });
    this.#endIfFinal();
  }

  #checkSend(): void {
    const { policies, eventLoopLagMs } = this.#options;
    const waiter = this.#waiters.current;
    const decision = policies.checkSend({
      callerDisconnected: waiter?.isDisconnected() ?? true,
      remainingMs: waiter ? waiter.deadlineAtMs - Date.now() : 0,
      eventLoopLagMs: eventLoopLagMs(),
    });
    if (decision === "recheck") {
      // Events that arrived during the freeze are processed before the next check.
      setTimeout(() => this.#checkSend(), SEND_RECHECK_DELAY_MS);
      return;
    }
    if (decision === "too-late") {
      return this.#forbid(notRun("deadline-passed"));
    }
    if (decision === "caller-gone") return this.#forbid(notRun("cancelled"));
    this.#endpoint = this.#options.chooseEndpoint(this.#tried);
    if (!this.#endpoint) {
      const reason = this.#tried.size > 0 ? "endpoint-refused" : "no-endpoint";
      return this.#forbid(notRun(reason));
    }
    this.#machine?.send({ type: "sendAllowed" });
  }

  #forbid(refusal: NotRun): void {
    this.#machine?.send({ type: "sendForbidden", refusal });
  }

  async #send(): Promise<void> {
    const { call, key, service, policies } = this.#options;
    const endpoint = this.#endpoint!;
    this.#tried.add(endpoint.id);
    this.#context.observer.log({
      event: "call-sent",
      key,
      endpoint: endpoint.id,
    });
    const { method, path, contentType, body } = call;
    const sent = await this.#context.ports.services.call(
      endpoint,
      { method, path, contentType, body, key },
      { timeoutMs: service.timeoutMs },
    );
    if (sent.isOk()) {
      this.#machine?.send({ type: "answered", answer: sent.value });
    } else if (policies.mayTryAnotherReplica(sent.error)) {
      this.#options.onUnreachable(endpoint.id);
      this.#machine?.send({ type: "anotherReplica" });
    } else {
      this.#machine?.send({ type: "lost", reason: reasonOf(sent.error.kind) });
    }
  }

  // Marks the row as released, which only this incarnation may do, because no other
  // VM can be sure that nothing was sent. Expecting the row's version prevents a late
  // retry of the write from overwriting a later claim.
  async #release(): Promise<void> {
    const { key, store } = this.#options;
    const token = `${this.claim.token}-released`;
    for (;;) {
      const current = await store.read(key);
      if (current !== "failed") {
        const row = current?.value as unknown as CallRow | undefined;
        const isHeld = row?.claim.token === this.claim.token &&
          row.state.kind !== "released";
        if (!current || !isHeld) break;
        const { outcome } = store.write({
          row: this.#createRow({ kind: "released" }, token),
          expect: { kind: "version", version: current.version },
          urgent: true,
        });
        if ((await outcome).kind === "written") break;
      }
      await wait(RETRY_DELAY_MS);
    }
    this.#context.observer.count("claims", "released");
    this.#machine?.send({ type: "recorded" });
    this.#endIfFinal();
  }

  async #record(state: CallRowState): Promise<void> {
    const stored = state.kind === "done"
      ? await this.#storeAnswer(state)
      : state;
    const token = `${this.claim.token}-${state.kind}`;
    // Other VMs change the row of a sent call to `unknown` only; this result is more
    // precise, so it overwrites any version.
    const { outcome } = this.#options.store.write({
      row: this.#createRow(stored, token),
      expect: { kind: "any" },
      urgent: false,
    });
    await outcome;
    this.#context.observer.count("claims", state.kind);
    this.#machine?.send({ type: "recorded" });
    this.#endIfFinal();
  }

  async #storeAnswer(
    state: Extract<CallRowState, { kind: "done" }>,
  ): Promise<CallRowState> {
    for (;;) {
      const stored = await storeAnswer(this.#context.ports.platform, {
        answer: state.answer,
        name: this.claim.token,
      });
      if (stored) return stored;
      await wait(RETRY_DELAY_MS);
    }
  }

  #endIfFinal(): void {
    const state = this.#state;
    const isFinal = ["occupied", "released", "recorded"].includes(state);
    if (!isFinal) return;
    clearTimeout(this.#claimTimer);
    this.#options.onEnd();
    this.#waiters.notify(this.#finalOutcome(state));
  }

  #finalOutcome(state: string): WaitOutcome {
    if (state === "occupied") return { kind: "occupied" };
    if (state === "released" || !this.#result) return { kind: "released" };
    return { ...this.#result, replayed: true };
  }

  #storeUnavailable(): NotRun {
    return attemptNotRun(
      "store-unavailable",
      this.#options.store.retryAfterMs,
    );
  }

  #createRow(state: CallRowState, writeToken: string): CallRow {
    const { key, call, bodyDigest, attempt, expiresAtMs } = this.#options;
    return {
      key,
      caller: call.caller,
      bodyDigest,
      attempt,
      expiresAtMs,
      claim: this.claim,
      writeToken,
      state,
    };
  }
}

/** Creates a refusal of this attempt that leaves open whether earlier ones ran. */
export function attemptNotRun(
  reason: NotRun["reason"],
  retryAfterMs = 1_000,
): NotRun {
  return notRun(reason, { retryAfterMs, earlierAttempts: "unknown" });
}

function reasonOf(kind: SendFailure["kind"]): MayHaveRunReason {
  return kind === "timeout" ? "endpoint-timeout" : "connection-lost";
}

/** Creates a claim token that is unique across all VMs. */
export function claimToken(context: VmContext, number: number): string {
  return asId(`${context.identity.incarnation}-c${number}`);
}
