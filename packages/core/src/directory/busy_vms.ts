/** Remembers which VMs have more requests than they can serve. */
import type { VmId } from "../common/ids.ts";

/** VMs say whether they are busy in each probe; what one said is outdated after this. */
const VALID_MS = 3_000;

/** The VMs that lately said that they are busy. */
export class BusyVms {
  #notedAtMs = new Map<VmId, number>();

  /** Notes what a VM says of itself. */
  note(vm: VmId, isBusy: boolean): void {
    if (isBusy) this.#notedAtMs.set(vm, performance.now());
    else this.#notedAtMs.delete(vm);
  }

  has(vm: VmId): boolean {
    const notedAtMs = this.#notedAtMs.get(vm) ?? -Infinity;
    return performance.now() - notedAtMs < VALID_MS;
  }
}
