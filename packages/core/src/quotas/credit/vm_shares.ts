/**
 * Computes which part of a quota this VM may grant, so that the parts of all VMs
 * add up to the quota while some of them can't reach each other.
 *
 * The share of each VM belongs to the home that this VM draws from. A home counts the
 * VMs that it can reach. After its view has changed, other VMs may still draw from the
 * home before it, so that for a while it counts only those that draw from itself.
 */
import type { VmId } from "../../common/ids.ts";
import type { MembershipView } from "../../membership/types.ts";

/**
 * Time without contact to any other VM after which this one may be cut off. Probes
 * bring a contact each second.
 */
const ISOLATED_AFTER_MS = 1_500;
/** Time for which the outcome of a call to another VM counts. */
const EVIDENCE_MS = 2_000;
/** VMs that must have failed to answer before calls are taken as a sign of a lost network. */
const MIN_SILENT = 3;

interface Outcome {
  readonly answered: boolean;
  readonly atMs: number;
}

/** Options of {@link VmShares}. */
export interface VmSharesOptions {
  membership: Pick<MembershipView, "self" | "members">;
}

/** Counts the VMs among which quotas are shared. */
export class VmShares {
  #options: VmSharesOptions;
  #contactAtMs = performance.now();
  #outcomes = new Map<VmId, Outcome>();
  #reported = 0;
  #reportedAtMs = -Infinity;

  constructor(options: VmSharesOptions) {
    this.#options = options;
  }

  /** Records that another VM was heard of. */
  noteContact(): void {
    this.#contactAtMs = performance.now();
  }

  /** Records whether a VM answered a call. */
  noteCall(vm: VmId, answered: boolean): void {
    if (answered) this.noteContact();
    this.#outcomes.set(vm, { answered, atMs: performance.now() });
  }

  /** Records how many VMs another one knows; one that has just started knows few. */
  noteKnown(vms: number): void {
    const nowMs = performance.now();
    const isOld = nowMs - this.#reportedAtMs > EVIDENCE_MS;
    if (!isOld && vms < this.#reported) return;
    this.#reported = vms;
    this.#reportedAtMs = nowMs;
  }

  /** VMs that are not known to have ended, this one included. */
  get ownCount(): number {
    return Math.max(1, this.#running().length);
  }

  /** As {@link ownCount}, or the number that another VM knows if that is higher. */
  get known(): number {
    const isOld = performance.now() - this.#reportedAtMs > EVIDENCE_MS;
    return Math.max(this.ownCount, isOld ? 0 : this.#reported);
  }

  /** The share of the VMs that this one reaches. */
  reachedShare(): number {
    const { self } = this.#options.membership;
    const isIsolated =
      performance.now() - this.#contactAtMs > ISOLATED_AFTER_MS;
    const reached =
      this.#running().filter(({ id, region, state }) =>
        id === self.id ||
        !isIsolated && region === self.region && state !== "suspected"
      ).length;
    const share = Math.min(1, reached / this.known);
    return Math.max(1 / this.known, Math.min(share, this.#answeredShare()));
  }

  // Suspicions of many VMs at once take seconds; calls to other homes fail before.
  #answeredShare(): number {
    const sinceMs = performance.now() - EVIDENCE_MS;
    let answered = 1;
    let silent = 0;
    for (const [vm, outcome] of this.#outcomes) {
      if (outcome.atMs < sinceMs) this.#outcomes.delete(vm);
      else if (outcome.answered) answered += 1;
      else silent += 1;
    }
    return silent < MIN_SILENT ? 1 : answered / (answered + silent);
  }

  #running() {
    return this.#options.membership.members().filter(({ state }) =>
      state !== "dead"
    );
  }
}
