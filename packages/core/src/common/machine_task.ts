/** Runs a pure xstate machine: feeds it events and hands its effects to one function. */
import {
  type AnyStateMachine,
  type EventFromLogic,
  initialTransition,
  type InputFrom,
  type SnapshotFrom,
  transition,
} from "xstate";

/** An effect that a transition asked for, as data. */
export interface Effect {
  readonly type: string;
  readonly params: unknown;
}

/** Options of {@link MachineTask}. */
export interface MachineTaskOptions<M extends AnyStateMachine> {
  input: InputFrom<M>;
  /** Carries one effect out. It may send further events. */
  perform: (effect: Effect) => void;
}

/** Owns one machine's snapshot. Events that arrive while effects run are queued. */
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
    this.#drain();
  }

  /** The current snapshot. */
  get snapshot(): SnapshotFrom<M> {
    return this.#snapshot;
  }

  /** Feeds one event and carries out the effects that it causes. */
  send(event: EventFromLogic<M>): void {
    this.#queue.push(event);
    if (!this.#busy) this.#drain();
  }

  #drain(): void {
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
