/** Keeps retries to a share of the load that was admitted, for each workspace. */
import type { WorkspaceId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";

/** Retries that a workspace may make before it has admitted anything. */
const BURST_RETRIES = 5;
const BACK_OFF_BASE_MS = 50;
const BACK_OFF_MAX_MS = 2_000;
/** Workspaces that are kept apart; the one unused for longest is forgotten first. */
const MAX_WORKSPACES = 20_000;

/** Why a request is tried again. Each has a counter. */
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
  /** The share of admitted requests that may be tried again, 0 to 1. */
  share: () => number;
}

/** Owns the retry budgets of the workspaces at one VM. */
export class RetryBudget {
  #context: VmContext;
  #options: RetryBudgetOptions;
  #left = new Map<WorkspaceId, number>();

  constructor(context: VmContext, options: RetryBudgetOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Notes an admitted request, which earns its workspace a share of a retry. */
  noteAdmitted(workspace: WorkspaceId): void {
    const left = this.remaining(workspace) + this.#options.share();
    this.#set(workspace, Math.min(BURST_RETRIES, left));
  }

  /** Takes one retry and counts it; false when the budget is spent. */
  take(workspace: WorkspaceId, reason: RetryReason): boolean {
    const left = this.remaining(workspace);
    if (left < 1) {
      this.#context.observer.count("retries", `spent-${reason}`);
      return false;
    }
    this.#set(workspace, left - 1);
    this.#context.observer.count("retries", reason);
    return true;
  }

  /** Retries that a workspace may make now. */
  remaining(workspace: WorkspaceId): number {
    return this.#left.get(workspace) ?? BURST_RETRIES;
  }

  #set(workspace: WorkspaceId, left: number): void {
    this.#left.delete(workspace);
    this.#left.set(workspace, left);
    if (this.#left.size <= MAX_WORKSPACES) return;
    const [oldest] = this.#left.keys();
    this.#left.delete(oldest!);
  }
}

/** Options of {@link backOffMs}. */
export interface BackOffOptions {
  random: () => number;
  baseMs?: number;
  maxMs?: number;
}

/** How long to wait before a retry: at random up to a limit that doubles with each attempt, from 1 on. */
export function backOffMs(attempt: number, options: BackOffOptions): number {
  const { random, baseMs = BACK_OFF_BASE_MS, maxMs = BACK_OFF_MAX_MS } =
    options;
  const limitMs = Math.min(maxMs, baseMs * 2 ** (attempt - 1));
  return Math.ceil(limitMs / 2 + random() * limitMs / 2);
}
