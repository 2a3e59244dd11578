/** Limits retries to a share of the admitted requests, for each workspace. */
import type { WorkspaceId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";

/** Initial and maximum budget of a workspace, in retries. */
const BURST_RETRIES = 5;
const BACK_OFF_BASE_MS = 50;
const BACK_OFF_MAX_MS = 2_000;
/** Maximum number of workspaces tracked; the least recently used is dropped first. */
const MAX_WORKSPACES = 20_000;

/** Why a request is retried. Each reason is counted separately. */
export type RetryReason =
  | "endpoint-refused"
  | "engine-refused"
  | "engine-crashed"
  | "connection-lost"
  | "transfer-failed"
  | "export-gone"
  | "claim-reply-lost"
  | "home-changed"
  | "suspect-busy";

/** Options of {@link RetryBudget}. */
export interface RetryBudgetOptions {
  /** Share of admitted requests that may be retried, from 0 to 1. */
  share: () => number;
}

/** Tracks the retry budgets of the workspaces at one VM. */
export class RetryBudget {
  #context: VmContext;
  #options: RetryBudgetOptions;
  #remaining = new Map<WorkspaceId, number>();

  constructor(context: VmContext, options: RetryBudgetOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Records an admitted request, which adds a fraction of a retry to its workspace's budget. */
  recordAdmitted(workspace: WorkspaceId): void {
    const remaining = this.remaining(workspace) + this.#options.share();
    this.#set(workspace, Math.min(BURST_RETRIES, remaining));
  }

  /** Takes one retry and counts it; returns false if the budget is spent. */
  take(workspace: WorkspaceId, reason: RetryReason): boolean {
    const remaining = this.remaining(workspace);
    if (remaining < 1) {
      this.#context.observer.count("retries", `spent-${reason}`);
      return false;
    }
    this.#set(workspace, remaining - 1);
    this.#context.observer.count("retries", reason);
    return true;
  }

  /** Returns a workspace's budget, in retries; may be fractional. */
  remaining(workspace: WorkspaceId): number {
    return this.#remaining.get(workspace) ?? BURST_RETRIES;
  }

  #set(workspace: WorkspaceId, remaining: number): void {
    this.#remaining.delete(workspace);
    this.#remaining.set(workspace, remaining);
    if (this.#remaining.size <= MAX_WORKSPACES) return;
    const [oldest] = this.#remaining.keys();
    this.#remaining.delete(oldest!);
  }
}

/** Options of {@link backOffMs}. */
export interface BackOffOptions {
  random: () => number;
  baseMs?: number;
  maxMs?: number;
}

/**
 * Returns the wait before a retry: random, between half of a limit and the
 * limit, which doubles with each attempt. Attempts count from 1.
 */
export function backOffMs(attempt: number, options: BackOffOptions): number {
  const { random, baseMs = BACK_OFF_BASE_MS, maxMs = BACK_OFF_MAX_MS } =
    options;
  const limitMs = Math.min(maxMs, baseMs * 2 ** (attempt - 1));
  return Math.ceil(limitMs / 2 + random() * limitMs / 2);
}
