/** Runs a pure xstate machine and passes its effects to one function. */
import {
  type AnyStateMachine,
  type EventFromLogic,
  initialTransition,
  type InputFrom,
  type SnapshotFrom,
  transition,
} from "xstate";

/** An effect that a transition requested, as data. */
export interface Effect {
  readonly type: string;
  readonly params: unknown;
}

/** Options of {@link MachineTask}. */
export interface MachineTaskOptions<M extends AnyStateMachine> {
  input: InputFrom<M>;
  /** Executes one effect. It may send further events. */
  perform: (effect: Effect) => void;
}

/**
 * Holds one machine's snapshot. Events that are sent while effects run are
 * queued and processed in order.
 */
export class MachineTask<M extends AnyStateMachine> {
  #machine: M;
  #snapshot: SnapshotFrom<M>;
  #perform: (effect: Effect) => void;
  #queue: EventFromLogic<M>[] = [];
  #busy = false;

  constructor(machine: M, options: MachineTaskOptions<M>) {
    this.#machine = machine;
    this.#perform = options.perform;
    const [snapshot, actions] = initialTransition(machine, options.input);
    this.#snapshot = snapshot as SnapshotFrom<M>;
    this.#busy = true;
    this.#performAll(actions);
    this.#busy = false;
    this.#processQueue();
  }

  /** The current snapshot. */
  get snapshot(): SnapshotFrom<M> {
    return this.#snapshot;
  }

  /**
   * Processes one event and executes its effects, or queues the event while
   * effects are being executed.
   */
  send(event: EventFromLogic<M>): void {
    this.#queue.push(event);
    if (!this.#busy) this.#processQueue();
  }

  #processQueue(): void {
    this.#busy = true;
    for (
      let event = this.#queue.shift();
      event !== undefined;
      event = this.#queue.shift()
    ) {
      const [snapshot, actions] = transition(
        this.#machine,
        this.#snapshot as never,
        event,
      );
      this.#snapshot = snapshot as SnapshotFrom<M>;
      this.#performAll(actions);
    }
    this.#busy = false;
  }

  #performAll(actions: readonly { type: string; params: unknown }[]): void {
    for (const { type, params } of actions) this.#perform({ type, params });
  }
}
