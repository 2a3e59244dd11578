/** The local record of another VM: its place and its state machine. */
import { hash48 } from "../common/hash.ts";
import type { VmId } from "../common/ids.ts";
import { MachineTask } from "../common/machine_task.ts";
import {
  type Listing,
  type MemberEvent,
  memberMachine,
  type MemberStatus,
} from "./machine.ts";
import type { Member, MemberPlace, MemberUpdate, VmState } from "./types.ts";

/** Options of {@link MemberRecord}. */
export interface MemberRecordOptions {
  id: VmId;
  place: MemberPlace;
  listing: Listing;
  status?: MemberStatus;
}

const UNKNOWN_STATUS: MemberStatus = {
  statusVersion: 0,
  incarnation: null,
  announced: "live",
};

/** State of one other VM in the local view. */
export class MemberRecord {
  readonly id: VmId;
  /** Hash of the id, 32 bits that spread evenly over ids; orders the probe ring. */
  readonly idHash: number;
  /**
   * Location and addresses; they change if another VM replaces this one under the
   * same id.
   */
  place: MemberPlace;
  /** When the VM last became dead, in ms of `performance.now()`. */
  deadAtMs = 0;
  /**
   * False if the VM did not answer this VM's last probe, even if others reach it.
   * Not passed on to other VMs.
   */
  reachable = true;
  #task: MachineTask<typeof memberMachine>;

  constructor(options: MemberRecordOptions) {
    this.id = options.id;
    this.idHash = hash48(options.id) | 0;
    this.place = options.place;
    this.#task = new MachineTask(memberMachine, {
      input: {
        ...(options.status ?? UNKNOWN_STATUS),
        listing: options.listing,
      },
      perform() {},
    });
  }

  get context() {
    return this.#task.snapshot.context;
  }

  get state(): VmState {
    const { value, context } = this.#task.snapshot;
    if (value !== "answering") return value as "suspected" | "dead";
    const leaving = context.announced === "leaving" ||
      context.listing === "leaving";
    return leaving ? "leaving" : "live";
  }

  /** Applies an event; returns true if the state or the status version changed. */
  send(event: MemberEvent): boolean {
    const before = this.state;
    const { statusVersion } = this.context;
    this.#task.send(event);
    return this.state !== before ||
      this.context.statusVersion !== statusVersion;
  }

  toMember(): Member {
    const { incarnation } = this.context;
    return { id: this.id, ...this.place, incarnation, state: this.state };
  }

  toUpdate(options: { withPlace: boolean }): MemberUpdate {
    const { incarnation, statusVersion } = this.context;
    return {
      id: this.id,
      incarnation,
      statusVersion,
      // Each VM reads the platform's list itself, so `leaving` is passed on only if
      // the VM announced it.
      state: this.state === "leaving" ? this.context.announced : this.state,
      ...(options.withPlace ? { place: this.place } : {}),
    };
  }
}
