/** What one VM keeps of the credit of one workspace. Sends no messages. */
import { DecayingCount } from "../../common/decaying_count.ts";
import type { WorkspaceQuota } from "../../routing/workspaces/types.ts";
import { CreditAccount, limitRetry } from "./account.ts";
import type { CreditGrant } from "./types.ts";

const MS_PER_SECOND = 1_000;
/** Time after which the debt of this VM's own share has left the window of the bound. */
const DEBT_MS = 10_000;

/**
 * Time for which a home that didn't get a VM's draws, or didn't reach it with its
 * answers, may go on to grant this VM's share to others.
 */
const UNNOTICED_MS = 1_500;

/** Where the credit of a request came from. */
export type CreditSource = string | CreditAccount;

/** Leased credit, credit to return, and this VM's own share while it has no home. */
export class LocalCredit {
  #account: string | null = null;
  #leased = 0;
  #leasedUntilMs = 0;
  #returned = 0;
  #pausedUntilMs = 0;
  #perSecond = 0;
  #nextRetryAtMs = 0;
  #isReduced = false;
  #own: CreditAccount | null = null;
  #aloneUntilMs = -Infinity;
  #aloneSinceMs: number | null = null;
  #aloneEndedMs = -Infinity;
  #spentAlone = 0;
  #demand = new DecayingCount();

  /** Id of the account at the home that granted credit last. */
  get account(): string | null {
    return this.#account;
  }

  /** Whether this VM uses its own share, because the home doesn't answer. */
  get isAlone(): boolean {
    return performance.now() < this.#aloneUntilMs;
  }

  /** Time until the home is asked again; 0 if it is asked now. */
  get aloneForMs(): number {
    return Math.max(0, this.#aloneUntilMs - performance.now());
  }

  /** Since when the home has not answered; null if it has. */
  get aloneSinceMs(): number | null {
    return this.#aloneSinceMs;
  }

  /** Time for which the home wants no further draws; 0 if it answers them. */
  get pausedForMs(): number {
    return Math.max(0, this.#pausedUntilMs - performance.now());
  }

  /** Whether refusals are explained by VMs that can't be reached. */
  get isReduced(): boolean {
    return this.#isReduced || this.isAlone;
  }

  /** Credit asked for, as an average over about the last second. */
  get demandPerSecond(): number {
    return this.#demand.ratePerMs() * MS_PER_SECOND;
  }

  /** Records that a request asks for credit. */
  noteDemand(cost: number): void {
    this.#demand.add(cost);
  }

  /** Takes credit that this VM holds already; null if there is too little. */
  take(cost: number): CreditSource | null {
    if (this.#leased >= cost && performance.now() < this.#leasedUntilMs) {
      this.#leased -= cost;
      return this.#account!;
    }
    if (!this.isAlone || !this.#own!.take(cost)) return null;
    this.#spentAlone += cost;
    return this.#own;
  }

  /** Ends a lease that is over; returns the credit that was not used. */
  expire(): number {
    if (performance.now() < this.#leasedUntilMs) return 0;
    const unused = this.#leased;
    this.#leased = 0;
    this.#returned += unused;
    return unused;
  }

  /** Takes out everything that goes back to the home with the next draw. */
  takeReturns(): number {
    const returned = this.#leased + this.#returned;
    this.#leased = 0;
    this.#returned = 0;
    return returned;
  }

  /** Charges to this VM's own share that the home has to be told of. */
  get spentAlone(): number {
    const sinceMs = this.#aloneSinceMs ?? -Infinity;
    return performance.now() - sinceMs < UNNOTICED_MS ? this.#spentAlone : 0;
  }

  /** Returns credit to where it came from, as far as that still exists. */
  giveBack(cost: number, source: CreditSource): void {
    if (source === this.#account) this.#returned += cost;
    else if (source instanceof CreditAccount) {
      source.giveBack(cost);
      this.#spentAlone = Math.max(0, this.#spentAlone - cost);
    }
  }

  /** Records what the home granted beside the requests themselves. */
  noteGrant(grant: CreditGrant): void {
    const nowMs = performance.now();
    if (this.#account !== grant.account) this.#returned = 0;
    this.#account = grant.account;
    this.#leased = grant.lease;
    this.#leasedUntilMs = nowMs + grant.leaseMs;
    this.#perSecond = grant.perSecond;
    this.#isReduced = grant.isReduced;
    if (grant.pauseMs > 0) this.#pausedUntilMs = nowMs + grant.pauseMs;
    if (this.#aloneSinceMs !== null) this.#aloneEndedMs = nowMs;
    this.#aloneSinceMs = null;
    this.#spentAlone = 0;
    this.#aloneUntilMs = -Infinity;
  }

  /** Uses this VM's own share for some time, since the home doesn't answer. */
  beAlone(
    { quota, knownVms, forMs }: {
      quota: WorkspaceQuota;
      knownVms: number;
      forMs: number;
    },
  ): void {
    const nowMs = performance.now();
    const terms = { quota, share: 1 / knownVms };
    if (this.#aloneSinceMs === null) {
      const isPaid = nowMs - this.#aloneEndedMs > DEBT_MS;
      if (isPaid || !this.#own) this.#own = new CreditAccount(terms);
      else this.#own.restart(terms);
      this.#aloneSinceMs = nowMs;
    }
    this.#own!.fill(terms);
    this.#aloneUntilMs = nowMs + forMs;
  }

  /** Adds the credit that this VM's own share has earned. */
  fillOwn(quota: WorkspaceQuota, knownVms: number): void {
    if (this.#aloneSinceMs === null) return;
    this.#own!.fill({ quota, share: 1 / knownVms });
  }

  /** Time until this VM's own share has credit for a request. */
  ownWaitMs(cost: number): number {
    return this.#own!.waitMs(cost);
  }

  /** Returns the time to retry of a request that this VM refuses by itself. */
  scheduleRetry(cost: number): number {
    if (this.isAlone) return this.#own!.scheduleRetry(cost);
    const nowMs = performance.now();
    const atMs = Math.max(this.#pausedUntilMs, this.#nextRetryAtMs);
    const retryAfterMs = limitRetry(atMs - nowMs);
    const ownMs = cost / Math.max(this.#perSecond, 1e-9) * MS_PER_SECOND;
    this.#nextRetryAtMs = Math.max(nowMs, atMs) + limitRetry(ownMs);
    return retryAfterMs;
  }
}
