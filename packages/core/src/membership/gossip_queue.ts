/** News of VMs that still has to be passed on, within a limit of bytes for each message. */
import type { VmId } from "../common/ids.ts";
import type { MemberUpdate } from "./types.ts";

/** Most bytes of news on one probe or answer. */
export const MAX_GOSSIP_BYTES = 400;
/** Each item is passed on this many times the logarithm of the number of VMs. */
const REPEAT_FACTOR = 3;

interface Queued {
  remaining: number;
  withPlace: boolean;
}

/** Options of {@link GossipQueue.takeBatch}. */
export interface BatchOptions {
  /** Items that go first, whatever is queued. */
  first: readonly MemberUpdate[];
  find: (id: VmId, options: { withPlace: boolean }) => MemberUpdate | undefined;
}

/** Chooses what the next probe carries. */
export class GossipQueue {
  #queued = new Map<VmId, Queued>();

  /** Queues news of a VM; `vmCount` sets how often it is passed on. */
  add(id: VmId, options: { vmCount: number; withPlace?: boolean }): void {
    const rounds = Math.ceil(Math.log2(options.vmCount + 1));
    this.#queued.set(id, {
      remaining: REPEAT_FACTOR * rounds,
      withPlace: options.withPlace ?? this.#queued.get(id)?.withPlace ?? false,
    });
  }

  /** A VM with the same view was met: it knows all that is queued. */
  markAllPassedOn(): void {
    for (const [id, queued] of this.#queued) this.#passed(id, queued);
  }

  /** Takes what fits, least passed on first. */
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
      this.#passed(id, queued);
    }
    return taken;
  }

  #passed(id: VmId, queued: Queued): void {
    queued.remaining -= 1;
    if (queued.remaining <= 0) this.#queued.delete(id);
  }
}

/** Gives the size of one item on the wire. */
export function sizeOf(item: MemberUpdate): number {
  return JSON.stringify(item).length + 1;
}
