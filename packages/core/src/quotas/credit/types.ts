/** Types of workspace quotas that hold over all VMs together. */
import type { Result } from "neverthrow";
import type { VmId, WorkspaceId } from "../../common/ids.ts";
import type { PeerRef } from "../../ports/peers.ts";
import type { NotRun } from "../../common/verdict.ts";
import type {
  RoutingWorkspace,
  WorkspaceQuota,
} from "../../routing/workspaces/types.ts";

/** A request to charge to the quota of its workspace. */
export interface CreditRequest {
  readonly workspace: RoutingWorkspace;
  /** Prompt tokens and maximum output tokens together; null without a valid count. */
  readonly tokens: number | null;
  /** How long the request may wait for credit. */
  readonly waitMs: number;
  /** Aborted when the caller leaves. */
  readonly signal: AbortSignal;
}

/** What a request was charged. */
export interface CreditCharge {
  /** Returns the charge of a request that did not run; further calls do nothing. */
  giveBack(): void;
}

/** Charges requests to the quotas of their workspaces. */
export interface CreditAdmission {
  /** Charges a request, or refuses it as `quota-exceeded`. */
  admit(request: CreditRequest): Promise<Result<CreditCharge, NotRun>>;
}

/** One request in a {@link CreditDraw}. */
export interface CreditNeed {
  readonly cost: number;
  /** How long the request may still wait. */
  readonly waitMs: number;
}

/** Asks the home of a workspace for credit. */
export interface CreditDraw {
  readonly workspace: WorkspaceId;
  readonly vm: VmId;
  /** Version of the routing table by which the VM knows the quota. */
  readonly tableVersion: number;
  /** VMs that the sender doesn't know to have ended. */
  readonly knownVms: number;
  /** The requests that wait, oldest first. */
  readonly needs: readonly CreditNeed[];
  /** Account from which `returned` came; null if there is none. */
  readonly account: string | null;
  /** Leased credit that was not used, and credit of requests that did not run. */
  readonly returned: number;
  /**
   * What the VM charged to its own share while it missed answers of the home for so
   * short a time that the home didn't notice.
   */
  readonly spentAlone: number;
  /** Credit for which requests at the VM asked in the last second. */
  readonly demandPerSecond: number;
}

/** Credit that a home grants. */
export interface CreditGrant {
  readonly account: string;
  /** How many of the needs are granted, oldest first. */
  readonly granted: number;
  /** Time until the credit for each of the other needs is likely to be there. */
  readonly retryAfterMs: readonly number[];
  /** Credit in advance, and how long it may be used. */
  readonly lease: number;
  readonly leaseMs: number;
  /** Time in which the VM doesn't ask again; 0 if every need was granted. */
  readonly pauseMs: number;
  /** Credit per second that falls to one of the VMs that ask. */
  readonly perSecond: number;
  /** Whether refusals are explained by VMs that can't be reached, or by a new home. */
  readonly isReduced: boolean;
}

/** Names the VM that became home of a workspace in place of the one that was asked. */
export interface CreditMove {
  readonly movedTo: PeerRef;
}

/** What the account of a workspace holds when another VM becomes its home. */
export interface CreditHandOver {
  readonly workspace: WorkspaceId;
  /** Negative while in debt. */
  readonly level: number;
  readonly knownVms: number;
}

/** Peer methods of workspace quotas. */
export interface CreditHandlers {
  /**
   * Grants credit for a workspace whose home is this VM, or names the home to which it
   * handed the account over. Null if it is not the home or does not know the quota, so
   * that the sender uses its own share.
   */
  "routing/credit": (params: CreditDraw) => CreditGrant | CreditMove | null;
  /** Notifies this VM that the home before it no longer grants a workspace's credit. */
  "routing/credit-handed-over": (params: CreditHandOver) => null;
}

/** A quota and the part of it that an account grants. */
export interface QuotaShare {
  readonly quota: WorkspaceQuota;
  /** From 0 to 1. */
  readonly share: number;
}
