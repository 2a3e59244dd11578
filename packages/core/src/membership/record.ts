/** One other VM: its place and the machine that says what is believed of it. */
import { hashNumber } from "../common/hash.ts";
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

const UNHEARD: MemberStatus = {
  statusVersion: 0,
  incarnation: null,
  announced: "live",
};

/** Keeps what one VM knows of another. */
export class MemberRecord {
  readonly id: VmId;
  /** 32 bits that spread evenly over ids. */
  readonly idHash: number;
  /** Where the VM is; another address once it was replaced under its id. */
  place: MemberPlace;
  /** When the VM was last found dead, on the monotonic clock. */
  deadAtMs = 0;
  /** False while only others get an answer from it; local, and not passed on. */
  reachable = true;
  #task: MachineTask<typeof memberMachine>;

  constructor(options: MemberRecordOptions) {
    this.id = options.id;
    this.idHash = hashNumber(options.id) | 0;
    this.place = options.place;
    this.#task = new MachineTask(memberMachine, {
      input: { ...(options.status ?? UNHEARD), listing: options.listing },
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

  /** Feeds an event; true when others would see a difference. */
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
      // A listing is each VM's own reading of the platform; only the VM's own words travel.
      state: this.state === "leaving" ? this.context.announced : this.state,
      ...(options.withPlace ? { place: this.place } : {}),
    };
  }
}
