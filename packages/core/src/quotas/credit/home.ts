/**
 * Grants credit to all VMs from one account for each workspace whose home this VM is.
 *
 * Handles demand that differs from VM to VM and moves between them. Where more is
 * asked for than the quota, the VMs that ask take turns: each gets its part for the
 * time until it asks again, so that the number of messages doesn't grow with the load.
 */
import type { Incarnation, VmId, WorkspaceId } from "../../common/ids.ts";
import type { Member, MembershipView } from "../../membership/types.ts";
import type { WorkspaceQuota } from "../../routing/workspaces/types.ts";
import { CreditAccount } from "./account.ts";
import type {
  CreditDraw,
  CreditGrant,
  CreditHandOver,
  CreditMove,
  QuotaShare,
} from "./types.ts";
import type { VmShares } from "./vm_shares.ts";

/** Time in which all VMs notice that the home of a workspace has changed. */
const SETTLE_MS = 2_000;
/** Time for which a VM that has drawn credit counts as one that asks. */
const ACTIVE_MS = 2_500;
/** How long a lease may be used. */
export const LEASE_MS = 2_000;
/** Time for which a home keeps a lease in its books longer than the VM may use it. */
const LEASE_MARGIN_MS = 500;
/** Draws of one workspace that a home answers per second while it refuses requests. */
const DRAWS_PER_SECOND = 50;
const MIN_PAUSE_MS = 50;
/**
 * Demand, relative to the quota, above which VMs pause after a refusal. Below it,
 * a message for each request costs little more than under the load that the quota allows.
 */
const PAUSED_DEMAND = 1.2;
/** Part of a turn's credit that a lease may exceed it by, as turns are longer than planned. */
const TURN_RESERVE = 1.5;
const MAX_PAUSE_MS = 2_000;
const MS_PER_SECOND = 1_000;
/** Share of its capacity above which an account is far from its limit. */
const AMPLE_SHARE = 0.5;
/** Refusals under a share below this are explained by VMs that can't be reached. */
const REDUCED_SHARE = 0.9;
/** Time for which an account that this VM no longer grants from keeps its debt. */
const DEBT_MS = 10_000;

/** Returns the key whose home grants the credit of a workspace. */
export function creditKeyOf(workspace: WorkspaceId): string {
  return `credit/${workspace}`;
}

/** Options of {@link CreditHome}. */
export interface CreditHomeOptions {
  membership: Pick<MembershipView, "self" | "homeOf">;
  shares: VmShares;
  /** Called with what an account held when another VM became its home. */
  onHandOver: (home: Member, handOver: CreditHandOver) => void;
}

/** The routing table's quotas, as far as the home needs them. */
export interface KnownQuotas {
  readonly version: number;
  readonly quotas: ReadonlyMap<WorkspaceId, WorkspaceQuota>;
}

interface HomeAccount {
  readonly account: CreditAccount;
  /** Changes whenever the account begins anew, so that old credit isn't returned to it. */
  id: string;
  isHome: boolean;
  /** Until then, this VM is the home even if its view of the VMs doesn't say so yet. */
  heldUntilMs: number;
  /** Until then, other VMs may draw from the home before this one. */
  settledAtMs: number;
  changedAtMs: number;
  readonly draws: Map<VmId, LastDraw>;
}

interface LastDraw {
  readonly atMs: number;
  readonly demandPerSecond: number;
}

/** The accounts of the workspaces whose home is this VM. */
export class CreditHome {
  #options: CreditHomeOptions;
  #accounts = new Map<WorkspaceId, HomeAccount>();
  #known: KnownQuotas = { version: 0, quotas: new Map() };
  #sequence = 0;

  constructor(options: CreditHomeOptions) {
    this.#options = options;
  }

  /** Replaces the quotas. Accounts keep what they earned under the old ones. */
  setQuotas(known: KnownQuotas): void {
    this.#fillAll();
    this.#known = known;
    this.#review();
  }

  /** Begins and ends accounts whose home has changed. */
  noteViewChange(): void {
    this.#fillAll();
    this.#review();
  }

  /**
   * Empties the accounts: while this process stood still, another VM may have
   * granted what they would have earned.
   */
  noteStall(): void {
    for (const [workspace, entry] of this.#accounts) {
      const quota = this.#known.quotas.get(workspace);
      if (quota) this.#begin(entry, { quota, share: this.#shareOf(entry) });
    }
  }

  /**
   * Grants credit, or names the VM to which the account was handed over. Null if this
   * VM is not the home or doesn't know the quota.
   */
  grant(draw: CreditDraw): CreditGrant | CreditMove | null {
    const quota = this.#known.quotas.get(draw.workspace);
    const entry = this.#accounts.get(draw.workspace);
    const isBehind = this.#known.version < draw.tableVersion;
    if (!quota || !entry || isBehind) return null;
    if (!this.#isHomeOf(draw.workspace, entry)) {
      if (entry.isHome) this.#handOver(draw.workspace, entry);
      const { id, peerAddress } = this.#viewHomeOf(draw.workspace);
      return { movedTo: { id, peerAddress } };
    }
    if (!entry.isHome) return null;
    const { account } = entry;
    const { demandPerSecond } = draw;
    entry.draws.set(draw.vm, { atMs: performance.now(), demandPerSecond });
    const share = this.#fill(entry, quota);
    const returned = draw.account === entry.id ? draw.returned : 0;
    account.endLease(draw.vm, Math.max(0, returned));
    // A VM can't have spent more than its share.
    const mostAlone = 2 * SETTLE_MS / MS_PER_SECOND * account.perSecond;
    account.charge(Math.min(mostAlone, Math.max(0, draw.spentAlone)));
    const granted = this.#takeAll(account, draw);
    const refused = draw.needs.slice(granted);
    const { vms, demand } = sumDraws(entry);
    const isShort = refused.length > 0;
    const isPaused = isShort && demand > PAUSED_DEMAND * account.perSecond;
    return {
      account: entry.id,
      granted,
      retryAfterMs: refused.map(({ cost, waitMs }) => {
        const readyMs = account.waitMs(cost);
        return readyMs <= waitMs
          ? Math.ceil(readyMs)
          : account.scheduleRetry(cost);
      }),
      lease: isShort ? 0 : this.#lease(account, { draw, vms }),
      leaseMs: LEASE_MS,
      pauseMs: isPaused ? turnOf(vms) : 0,
      perSecond: account.perSecond / vms,
      isReduced: share < REDUCED_SHARE,
    };
  }

  #takeAll(account: CreditAccount, { needs }: CreditDraw): number {
    let granted = 0;
    for (const { cost } of needs) {
      if (!account.take(cost)) break;
      granted += 1;
    }
    return granted;
  }

  /** Leases credit for what a VM is likely to need until it asks again. */
  #lease(
    account: CreditAccount,
    { draw, vms }: { draw: CreditDraw; vms: number },
  ): number {
    const ample = account.level - AMPLE_SHARE * account.capacity;
    const forSeconds = (ample > 0 ? LEASE_MS : TURN_RESERVE * turnOf(vms)) /
      MS_PER_SECOND;
    const wanted = draw.demandPerSecond * forSeconds;
    const part = account.perSecond / vms * forSeconds;
    const free = ample > 0
      ? Math.min(ample, account.leasable) / vms
      : account.level;
    const amount = Math.min(part, wanted, free);
    // A lease is only of use to a VM that has several requests in its time.
    const isUseful = amount > 0 && wanted > 2 * largestOf(draw);
    if (!isUseful) return 0;
    const untilMs = performance.now() + LEASE_MS + LEASE_MARGIN_MS;
    account.lease(draw.vm, { amount, untilMs });
    return amount;
  }

  #fillAll(): void {
    for (const [workspace, entry] of this.#accounts) {
      const quota = this.#known.quotas.get(workspace);
      if (!quota || !entry.isHome) continue;
      this.#fill(entry, quota);
    }
  }

  // An account without draws is filled long after its home has settled.
  #fill(entry: HomeAccount, quota: WorkspaceQuota): number {
    const share = this.#shareOf(entry);
    if (performance.now() > entry.settledAtMs) {
      entry.account.fill({ quota, share }, entry.settledAtMs);
    }
    entry.account.fill({ quota, share });
    return share;
  }

  #review(): void {
    const nowMs = performance.now();
    for (const [workspace, quota] of this.#known.quotas) {
      const entry = this.#accounts.get(workspace);
      const isHome = this.#isHomeOf(workspace, entry);
      if (!isHome && entry?.isHome) this.#handOver(workspace, entry);
      if (isHome && !entry?.isHome) this.#becomeHome(workspace, quota);
    }
    for (const [workspace, entry] of this.#accounts) {
      const isOver = !this.#known.quotas.has(workspace) ||
        !entry.isHome && nowMs - entry.changedAtMs > DEBT_MS;
      if (isOver) this.#accounts.delete(workspace);
    }
  }

  /** Takes over what the account of a workspace held at the home before. */
  takeOver({ workspace, level }: CreditHandOver): void {
    const quota = this.#known.quotas.get(workspace);
    if (!quota) return;
    const existing = this.#accounts.get(workspace);
    const entry = existing?.isHome
      ? existing
      : this.#becomeHome(workspace, quota);
    const nowMs = performance.now();
    this.#fill(entry, quota);
    entry.settledAtMs = nowMs;
    entry.heldUntilMs = nowMs + SETTLE_MS;
    this.#fill(entry, quota);
    entry.account.giveBack(level);
  }

  #handOver(workspace: WorkspaceId, entry: HomeAccount): void {
    const { shares, onHandOver } = this.#options;
    const home = this.#viewHomeOf(workspace);
    const { level } = entry.account;
    entry.isHome = false;
    entry.changedAtMs = performance.now();
    onHandOver(home, { workspace, level, knownVms: shares.ownCount });
  }

  #becomeHome(workspace: WorkspaceId, quota: WorkspaceQuota): HomeAccount {
    const nowMs = performance.now();
    const existing = this.#accounts.get(workspace);
    const entry = existing ?? {
      account: new CreditAccount({ quota, share: 0 }),
      id: "",
      isHome: true,
      heldUntilMs: -Infinity,
      settledAtMs: nowMs,
      changedAtMs: nowMs,
      draws: new Map(),
    };
    entry.isHome = true;
    entry.settledAtMs = nowMs + SETTLE_MS;
    entry.draws.clear();
    this.#accounts.set(workspace, entry);
    this.#begin(entry, { quota, share: this.#shareOf(entry) });
    return entry;
  }

  #begin(entry: HomeAccount, terms: QuotaShare): void {
    this.#sequence += 1;
    const incarnation: Incarnation = this.#options.membership.self.incarnation;
    entry.id = `${incarnation}/${this.#sequence}`;
    entry.account.restart(terms);
  }

  #shareOf({ isHome, settledAtMs, draws }: HomeAccount): number {
    const { shares, membership } = this.#options;
    const reached = shares.reachedShare();
    if (!isHome) return 0;
    if (performance.now() >= settledAtMs) return reached;
    const others = draws.size - (draws.has(membership.self.id) ? 1 : 0);
    return Math.min(reached, (1 + others) / shares.known);
  }

  #isHomeOf(workspace: WorkspaceId, entry: HomeAccount | undefined): boolean {
    const isHeld = entry?.isHome && performance.now() < entry.heldUntilMs;
    const { self } = this.#options.membership;
    return isHeld || this.#viewHomeOf(workspace).id === self.id;
  }

  #viewHomeOf(workspace: WorkspaceId): Member {
    return this.#options.membership.homeOf(creditKeyOf(workspace));
  }
}

function sumDraws({ draws }: HomeAccount): { vms: number; demand: number } {
  const sinceMs = performance.now() - ACTIVE_MS;
  let demand = 0;
  for (const [vm, { atMs, demandPerSecond }] of draws) {
    if (atMs < sinceMs) draws.delete(vm);
    else demand += demandPerSecond;
  }
  return { vms: Math.max(1, draws.size), demand };
}

/** Time in which each VM that asks draws once. */
function turnOf(vms: number): number {
  const turnMs = vms / DRAWS_PER_SECOND * MS_PER_SECOND;
  return Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, turnMs));
}

function largestOf({ needs }: CreditDraw): number {
  return needs.reduce((largest, { cost }) => Math.max(largest, cost), 0);
}
