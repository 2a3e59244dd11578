/** Graceful shutdown of a routing VM, within the grace period of the platform. */
import { MachineTask } from "../common/machine_task.ts";
import type { Observer } from "../common/observe.ts";
import {
  type ForcedShutdownReason,
  type ShutdownEffect,
  shutdownMachine,
} from "../vm/shutdown_machine.ts";

/** Options of {@link RoutingShutdown}. */
export interface RoutingShutdownOptions {
  observer: Observer;
  /** How long callers may still arrive because they cached this VM's address. */
  servingMs: number;
  /** Announces to the other VMs that this one is leaving. */
  announce: () => Promise<void>;
  /** Number of requests without a final answer. */
  inProgress: () => number;
}

/** Runs the shutdown state machine of one VM and its effects. */
export class RoutingShutdown {
  #options: RoutingShutdownOptions;
  #machine: MachineTask<typeof shutdownMachine>;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #resolveDone: () => void = () => {};
  #done: Promise<void>;

  constructor(options: RoutingShutdownOptions) {
    this.#options = options;
    this.#done = new Promise((resolve) => (this.#resolveDone = resolve));
    this.#machine = new MachineTask(shutdownMachine, {
      input: undefined,
      perform: (effect) => this.#perform(effect as ShutdownEffect),
    });
  }

  /** True once the shutdown has begun. */
  get leaving(): boolean {
    return this.#machine.snapshot.value !== "serving";
  }

  /** Starts the shutdown; resolves once no request is in progress, or after {@link cut}. */
  begin(): Promise<void> {
    this.#machine.send({ type: "stop", servingMs: this.#options.servingMs });
    return this.#done;
  }

  /** Ends the shutdown at once, without waiting for requests in progress. */
  cut(reason: ForcedShutdownReason): void {
    this.#machine.send({ type: "cut", reason });
  }

  /** Lets the shutdown proceed if no request is in progress; called when a request ends. */
  checkIdle(): void {
    if (this.#options.inProgress() === 0) this.#machine.send({ type: "idle" });
  }

  #perform(effect: ShutdownEffect): void {
    const { observer, announce, inProgress } = this.#options;
    observer.log({
      event: "planned-stop",
      step: effect.type,
      inProgress: inProgress(),
    });
    switch (effect.type) {
      case "announceLeaving":
        void announce();
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
      case "cutOff":
        clearTimeout(this.#timer);
        return this.#resolveDone();
    }
  }
}
