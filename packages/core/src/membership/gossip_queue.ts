/** Queue of updates about VMs to pass on, with a size limit for each message. */
import type { VmId } from "../common/ids.ts";
import type { MemberUpdate } from "./types.ts";

/** Maximum size of the updates in one probe or answer. */
export const MAX_GOSSIP_BYTES = 400;
/** An update is passed on this factor times log2(number of VMs) times. */
const REPEAT_FACTOR = 3;

interface QueuedUpdate {
  /** How many more times it is passed on. */
  remaining: number;
  withPlace: boolean;
}

/** Options of {@link GossipQueue.takeBatch}. */
export interface BatchOptions {
  /** Updates that go before the queued ones. */
  first: readonly MemberUpdate[];
  /** Returns the current update about a VM; undefined if the VM is not in the table. */
  find: (id: VmId, options: { withPlace: boolean }) => MemberUpdate | undefined;
}

/** Selects the updates for each probe and answer. */
export class GossipQueue {
  #queued = new Map<VmId, QueuedUpdate>();

  /** Queues an update about a VM; `vmCount` determines how often it is passed on. */
  add(id: VmId, options: { vmCount: number; withPlace?: boolean }): void {
    const rounds = Math.ceil(Math.log2(options.vmCount + 1));
    this.#queued.set(id, {
      remaining: REPEAT_FACTOR * rounds,
      withPlace: options.withPlace ?? this.#queued.get(id)?.withPlace ?? false,
    });
  }

  /** Counts each update as passed on once, to a VM that was found to have the same view. */
  markAllPassedOn(): void {
    for (const [id, queued] of this.#queued) this.#countPass(id, queued);
  }

  /** Returns the updates that fit into one message, least passed on first. */
  takeBatch(options: BatchOptions): MemberUpdate[] {
    const taken = [...options.first];
    let sizeBytes = taken.reduce((sum, item) => sum + sizeOf(item), 0);
    const waiting = [...this.#queued].sort((a, b) =>
      b[1].remaining - a[1].remaining
    );
    for (const [id, queued] of waiting) {
      const item = options.find(id, queued);
      if (!item) {
        this.#queued.delete(id);
        continue;
      }
      sizeBytes += sizeOf(item);
      if (sizeBytes > MAX_GOSSIP_BYTES) break;
      taken.push(item);
      this.#countPass(id, queued);
    }
    return taken;
  }

  #countPass(id: VmId, queued: QueuedUpdate): void {
    queued.remaining -= 1;
    if (queued.remaining <= 0) this.#queued.delete(id);
  }
}

/** Returns the size of an update in a message, with its separator. */
export function sizeOf(item: MemberUpdate): number {
  return JSON.stringify(item).length + 1;
}
