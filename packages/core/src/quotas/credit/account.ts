/** The credit account of one workspace. Knows no messages and no other VMs. */
import type { VmId } from "../../common/ids.ts";
import { capacityOf, debtLimitOf, largestCostOf } from "./cost.ts";
import type { QuotaShare } from "./types.ts";

const MS_PER_SECOND = 1_000;
/** Longest time after which a refused request is told to retry. */
const MAX_RETRY_AFTER_MS = 30_000;
const MIN_RETRY_AFTER_MS = 20;
/**
 * Share from which on a full account admits a request of any size that the bound
 * allows. Two homes that can't reach each other don't both have it for long.
 */
const MAJORITY = 0.5;
/**
 * Share of the capacity that may be leased while the account is far from its limit.
 * As much may be charged again while it is leased, so that leases of VMs which don't
 * use them cause no refusals.
 */
const LEASED_SHARE = 0.15;
/** Credit that rounding errors of repeated additions may miss. */
const ROUNDING = 1e-6;

interface Lease {
  readonly amount: number;
  readonly untilMs: number;
}

/**
 * Token bucket that starts empty. It holds at most the burst, less what VMs hold as
 * leases, so that credit which is saved up never exceeds the burst in all. A request
 * is charged while that leaves no more than a limited debt.
 */
export class CreditAccount {
  #level = 0;
  #filledAtMs: number;
  #leases = new Map<VmId, Lease>();
  #leased = 0;
  /** Earliest time for the next scheduled retry, after those already scheduled. */
  #nextRetryAtMs = 0;
  /** The quota and share for which the account was last filled. */
  #terms: QuotaShare;

  constructor(terms: QuotaShare) {
    this.#terms = terms;
    this.#filledAtMs = performance.now();
  }

  /** Credit at the last change; negative while in debt. */
  get level(): number {
    return this.#level;
  }

  /** Most credit that the account holds. */
  get capacity(): number {
    return capacityOf(this.#terms);
  }

  /** Credit that is added per second. */
  get perSecond(): number {
    return this.#terms.quota.perSecond * this.#terms.share;
  }

  /** Adds the credit of the time since the last call until `atMs`, and sets the terms from then on. */
  fill(terms: QuotaShare, atMs = performance.now()): void {
    this.#level += this.#earned(atMs);
    this.#filledAtMs = Math.max(this.#filledAtMs, atMs);
    this.#terms = terms;
    this.#expireLeases(atMs);
    this.#cap();
  }

  /** Sets the terms from now on, and forgets saved credit, but no debt. */
  restart(terms: QuotaShare): void {
    this.#level = Math.min(0, this.#level);
    this.#filledAtMs = performance.now();
    this.#terms = terms;
  }

  /** Charges a request if there is credit for it; returns whether it did. */
  take(cost: number): boolean {
    if (this.#level + ROUNDING < this.#neededFor(cost)) return false;
    this.#level -= cost;
    return true;
  }

  /** Charges what was spent already, even if that leaves a debt. */
  charge(amount: number): void {
    this.#level -= amount;
  }

  /** Adds credit that was charged but not used. */
  giveBack(amount: number): void {
    this.#level += amount;
    this.#cap();
  }

  /** Ends the lease of a VM, which returned what it has not used. */
  endLease(vm: VmId, returned: number): void {
    this.#dropLease(vm);
    this.giveBack(returned);
  }

  /** Charges credit in advance, which counts as held by the VM until it returns it. */
  lease(vm: VmId, lease: Lease): void {
    this.#level -= lease.amount;
    this.#leases.set(vm, lease);
    this.#leased += lease.amount;
  }

  /** Credit that may be leased while the account is far from its limit. */
  get leasable(): number {
    return LEASED_SHARE * this.capacity - this.#leased;
  }

  /** Time until a request could be charged if no other one is; Infinity if never. */
  waitMs(cost: number): number {
    const missing = this.#neededFor(cost) - this.#level;
    if (missing <= 0) return 0;
    const { perSecond } = this;
    if (perSecond <= 0 || missing === Infinity) return Infinity;
    return missing / perSecond * MS_PER_SECOND;
  }

  /**
   * Schedules the retry of a refused request after those refused before it, and
   * returns the time until then.
   */
  scheduleRetry(cost: number): number {
    const nowMs = performance.now();
    const waitMs = this.waitMs(cost);
    // It must not delay the retries of requests that can be admitted.
    if (waitMs === Infinity) return MAX_RETRY_AFTER_MS;
    const ownMs = cost / this.perSecond * MS_PER_SECOND;
    const atMs = Math.max(nowMs + waitMs, this.#nextRetryAtMs);
    this.#nextRetryAtMs = Math.min(atMs + ownMs, nowMs + MAX_RETRY_AFTER_MS);
    return limitRetry(atMs - nowMs);
  }

  #neededFor(cost: number): number {
    const { share } = this.#terms;
    const needed = Math.max(0, cost - debtLimitOf(this.#terms));
    const leased = Math.min(LEASED_SHARE * this.capacity, this.#leased);
    if (needed <= this.capacity) return needed - leased;
    const isWithinBound = cost <= largestCostOf(this.#terms) - this.#leased;
    return share > MAJORITY && isWithinBound
      ? this.capacity - this.#leased
      : Infinity;
  }

  #earned(nowMs: number): number {
    const forMs = Math.max(0, nowMs - this.#filledAtMs);
    return forMs / MS_PER_SECOND * this.perSecond;
  }

  #cap(): void {
    this.#level = Math.min(this.#level, this.capacity - this.#leased);
  }

  #expireLeases(nowMs: number): void {
    for (const [vm, { untilMs }] of this.#leases) {
      if (untilMs < nowMs) this.#dropLease(vm);
    }
  }

  #dropLease(vm: VmId): void {
    const lease = this.#leases.get(vm);
    if (!lease) return;
    this.#leases.delete(vm);
    // Differences of many sums would drift from zero.
    this.#leased = this.#leases.size === 0
      ? 0
      : Math.max(0, this.#leased - lease.amount);
  }
}

/** Limits the time after which a refused request is told to retry. */
export function limitRetry(retryAfterMs: number): number {
  return Math.ceil(
    Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, retryAfterMs)),
  );
}
