/** Stops a VM without cutting off what it has in progress. */
import type { MembershipTask } from "../membership/task.ts";
import { MachineTask } from "../common/machine_task.ts";
import type { InProgressCounter } from "./in_progress.ts";
import {
  type ForcedShutdownReason,
  type ShutdownEffect,
  shutdownMachine,
} from "./shutdown_machine.ts";
import type { VmContext, VmTask } from "./types.ts";

const ROUND_MS = 1_000;
/** Covers the way of the last answer, and rounding of clocks. */
const MARGIN_MS = 2_000;

/** What a stop came to. */
export type ShutdownOutcome =
  | { readonly kind: "drained" }
  | {
    readonly kind: "cut";
    readonly reason: ForcedShutdownReason;
    /** Requests that had no final answer. */
    readonly inProgress: number;
  };

/** Steps of a stop that tests can leave out. */
export interface ShutdownPolicies {
  /** Keeps serving while callers may hold this VM's address. */
  readonly waitsForAddressTtl: boolean;
  /** Waits for the work in progress. */
  readonly drains: boolean;
}

/** A stop as it should be. */
export const DEFAULT_SHUTDOWN_POLICIES: ShutdownPolicies = {
  waitsForAddressTtl: true,
  drains: true,
};

/** Options of {@link GracefulShutdown}. */
export interface GracefulShutdownOptions {
  membership: MembershipTask;
  inProgress: InProgressCounter;
  /** Work that is counted elsewhere, for instance rows that are still to be written. */
  otherWorkCount?: () => number;
  /** Requests that have no final answer yet. */
  openRequestCount: () => number;
  /** How long callers may keep an answer to the address question. */
  addressTtlMs: () => number;
  policies?: Partial<ShutdownPolicies>;
}

/** Owns the stop of one VM. */
export class GracefulShutdown implements VmTask {
  #context: VmContext;
  #options: GracefulShutdownOptions;
  #policies: ShutdownPolicies;
  #machine: MachineTask<typeof shutdownMachine>;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #sampler: ReturnType<typeof setInterval> | undefined;
  #addressesKeptUntilMs = 0;
  #settle: (outcome: ShutdownOutcome) => void = () => {};
  #outcome: Promise<ShutdownOutcome>;

  constructor(context: VmContext, options: GracefulShutdownOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...DEFAULT_SHUTDOWN_POLICIES, ...options.policies };
    this.#outcome = new Promise((resolve) => (this.#settle = resolve));
    this.#machine = new MachineTask(shutdownMachine, {
      input: undefined,
      perform: (effect) => this.#perform(effect as ShutdownEffect),
    });
  }

  start(): void {
    this.#sample();
    this.#sampler = setInterval(() => this.#tick(), ROUND_MS);
  }

  stop(): void {
    clearInterval(this.#sampler);
    clearTimeout(this.#timer);
  }

  /** True once new work is refused. */
  get refusesWork(): boolean {
    const { value } = this.#machine.snapshot;
    return value !== "serving" && value !== "leaving";
  }

  /** Starts the stop, if it has not begun, and gives its outcome. */
  begin(): Promise<ShutdownOutcome> {
    this.#machine.send({ type: "stop", servingMs: this.#servingMs() });
    return this.#outcome;
  }

  /** Ends the stop at once; false when there is none to end. */
  force(reason: ForcedShutdownReason): boolean {
    this.#machine.send({ type: "cut", reason });
    return this.#machine.snapshot.value === "cut";
  }

  /** Work has ended; goes on with the stop if nothing else is in progress. */
  checkIdle(): void {
    if (this.#isIdle()) this.#machine.send({ type: "idle" });
  }

  #perform(effect: ShutdownEffect): void {
    this.#context.observer.log({ event: "planned-stop", step: effect.type });
    switch (effect.type) {
      case "announceLeaving":
        void this.#options.membership.leave();
        return;
      case "serveFor":
        this.#timer = setTimeout(
          () => this.#machine.send({ type: "servingEnded" }),
          effect.params.servingMs,
        );
        return;
      case "checkIdle":
        return this.checkIdle();
      case "finish":
        return this.#settle({ kind: "drained" });
      case "cutOff": {
        const { reason } = effect.params;
        const inProgress = this.#options.openRequestCount();
        this.#settle({ kind: "cut", reason, inProgress });
        return this.stop();
      }
    }
  }

  #isIdle(): boolean {
    return !this.#policies.drains || this.#count() === 0;
  }

  #count(): number {
    const { inProgress, otherWorkCount: otherWork } = this.#options;
    return inProgress.count + (otherWork?.() ?? 0);
  }

  #tick(): void {
    this.#sample();
    if (this.refusesWork) this.checkIdle();
  }

  // A time to live that was shortened lately still holds for answers given before.
  #sample(): void {
    this.#addressesKeptUntilMs = Math.max(
      this.#addressesKeptUntilMs,
      performance.now() + this.#options.addressTtlMs(),
    );
  }

  #servingMs(): number {
    if (!this.#policies.waitsForAddressTtl) return 0;
    this.#sample();
    const keptMs = this.#addressesKeptUntilMs - performance.now();
    return keptMs + this.#spreadMs() + MARGIN_MS;
  }

  // Time until every VM has heard that this one is leaving: two rounds for each doubling.
  #spreadMs(): number {
    const vmCount = this.#options.membership.members().length;
    return 2 * Math.ceil(Math.log2(vmCount + 1)) * ROUND_MS;
  }
}
