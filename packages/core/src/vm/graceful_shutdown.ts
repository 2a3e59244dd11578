/**
 * Graceful shutdown of a VM: it announces that it leaves, keeps serving while
 * callers may have cached its address, then waits for the work in progress.
 */
import type { MembershipTask } from "../membership/task.ts";
import { MachineTask } from "../common/machine_task.ts";
import type { InProgressCounter } from "./in_progress.ts";
import {
  type ForcedShutdownReason,
  type ShutdownEffect,
  shutdownMachine,
} from "./shutdown_machine.ts";
import type { VmContext, VmTask } from "./types.ts";

/** Interval of the checks here. VMs probe each other at the same interval. */
const PROBE_ROUND_MS = 1_000;
/** Covers the network delay of the last answer and the rounding of clocks. */
const MARGIN_MS = 2_000;

/** The result of a shutdown. */
export type ShutdownOutcome =
  | { readonly kind: "drained" }
  | {
    readonly kind: "cut";
    readonly reason: ForcedShutdownReason;
    /** Number of requests that had no final answer. */
    readonly inProgress: number;
  };

/** Steps of a shutdown that tests can turn off. */
export interface ShutdownPolicies {
  /** Keeps serving while callers may have cached this VM's address. */
  readonly waitsForAddressTtl: boolean;
  /** Waits until no work is in progress. */
  readonly drains: boolean;
}

/** All steps on, as in production. */
export const DEFAULT_SHUTDOWN_POLICIES: ShutdownPolicies = {
  waitsForAddressTtl: true,
  drains: true,
};

/** Options of {@link GracefulShutdown}. */
export interface GracefulShutdownOptions {
  membership: MembershipTask;
  inProgress: InProgressCounter;
  /** Number of work items counted elsewhere, such as rows not written yet. */
  otherWorkCount?: () => number;
  /** Number of requests that have no final answer yet. */
  openRequestCount: () => number;
  /** How long callers may cache the VM addresses that they looked up. */
  addressTtlMs: () => number;
  policies?: Partial<ShutdownPolicies>;
}

/** Runs the graceful shutdown of one VM. */
export class GracefulShutdown implements VmTask {
  #context: VmContext;
  #options: GracefulShutdownOptions;
  #policies: ShutdownPolicies;
  #machine: MachineTask<typeof shutdownMachine>;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #ticker: ReturnType<typeof setInterval> | undefined;
  #addressesExpireAtMs = 0;
  #resolveOutcome: (outcome: ShutdownOutcome) => void = () => {};
  #outcome: Promise<ShutdownOutcome>;

  constructor(context: VmContext, options: GracefulShutdownOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...DEFAULT_SHUTDOWN_POLICIES, ...options.policies };
    this.#outcome = new Promise((resolve) => (this.#resolveOutcome = resolve));
    this.#machine = new MachineTask(shutdownMachine, {
      input: undefined,
      perform: (effect) => this.#perform(effect as ShutdownEffect),
    });
  }

  start(): void {
    this.#extendAddressExpiry();
    this.#ticker = setInterval(() => this.#tick(), PROBE_ROUND_MS);
  }

  stop(): void {
    clearInterval(this.#ticker);
    clearTimeout(this.#timer);
  }

  /** True once the VM refuses new work. */
  get refusesWork(): boolean {
    const { value } = this.#machine.snapshot;
    return value !== "serving" && value !== "leaving";
  }

  /** Starts the shutdown unless it has begun; resolves with its outcome. */
  begin(): Promise<ShutdownOutcome> {
    this.#machine.send({ type: "stop", servingMs: this.#servingMs() });
    return this.#outcome;
  }

  /** Ends a shutdown in progress at once. Returns false if there is none. */
  force(reason: ForcedShutdownReason): boolean {
    this.#machine.send({ type: "cut", reason });
    return this.#machine.snapshot.value === "cut";
  }

  /**
   * Lets the shutdown proceed if no work is in progress; called when work ends.
   */
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
        return this.#resolveOutcome({ kind: "drained" });
      case "cutOff": {
        const { reason } = effect.params;
        const inProgress = this.#options.openRequestCount();
        this.#resolveOutcome({ kind: "cut", reason, inProgress });
        return this.stop();
      }
    }
  }

  #isIdle(): boolean {
    return !this.#policies.drains || this.#workCount() === 0;
  }

  #workCount(): number {
    const { inProgress, otherWorkCount } = this.#options;
    return inProgress.count + (otherWorkCount?.() ?? 0);
  }

  #tick(): void {
    this.#extendAddressExpiry();
    if (this.refusesWork) this.checkIdle();
  }

  // Sampled regularly: after the time to live is shortened, callers still cache
  // earlier answers for the longer time.
  #extendAddressExpiry(): void {
    this.#addressesExpireAtMs = Math.max(
      this.#addressesExpireAtMs,
      performance.now() + this.#options.addressTtlMs(),
    );
  }

  #servingMs(): number {
    if (!this.#policies.waitsForAddressTtl) return 0;
    this.#extendAddressExpiry();
    const cachedMs = this.#addressesExpireAtMs - performance.now();
    return cachedMs + this.#propagationMs() + MARGIN_MS;
  }

  // Time until every VM has received the news that this one is leaving. The
  // number of informed VMs doubles every two probe rounds.
  #propagationMs(): number {
    const vmCount = this.#options.membership.members().length;
    return 2 * Math.ceil(Math.log2(vmCount + 1)) * PROBE_ROUND_MS;
  }
}
