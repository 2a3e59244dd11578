/** The planned stop of a routing VM, within the time that the platform gives it. */
import { MachineTask } from "../common/machine_task.ts";
import type { Observer } from "../common/observe.ts";
import {
  type CutReason,
  type StopEffect,
  stopMachine,
} from "../vm/stop_machine.ts";

/** Options of {@link RoutingShutdown}. */
export interface RoutingShutdownOptions {
  observer: Observer;
  /** How long callers may still come, by addresses that they keep. */
  servingMs: number;
  announce: () => Promise<void>;
  /** Requests that have no final answer yet. */
  inProgress: () => number;
}

/** Owns the stop of one VM. */
export class RoutingShutdown {
  #options: RoutingShutdownOptions;
  #machine: MachineTask<typeof stopMachine>;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #resolveDone: () => void = () => {};
  #done: Promise<void>;

  constructor(options: RoutingShutdownOptions) {
    this.#options = options;
    this.#done = new Promise((resolve) => (this.#resolveDone = resolve));
    this.#machine = new MachineTask(stopMachine, {
      input: undefined,
      perform: (effect) => this.#perform(effect as StopEffect),
    });
  }

  /** True from the signal on. */
  get leaving(): boolean {
    return this.#machine.snapshot.value !== "serving";
  }

  /** True once new requests are refused. */
  get refusesWork(): boolean {
    return this.leaving && this.#machine.snapshot.value !== "leaving";
  }

  /** Starts the stop; resolves once no request is in progress, or it was cut. */
  begin(): Promise<void> {
    this.#machine.send({ type: "stop", servingMs: this.#options.servingMs });
    return this.#done;
  }

  /** Ends the stop at once. */
  cut(reason: CutReason): void {
    this.#machine.send({ type: "cut", reason });
  }

  /** A request has ended. */
  checkIdle(): void {
    if (this.#options.inProgress() === 0) this.#machine.send({ type: "idle" });
  }

  #perform(effect: StopEffect): void {
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
