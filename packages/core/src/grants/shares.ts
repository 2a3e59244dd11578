/** Weighted fair sharing of a shard between workspaces. */
import type { WorkspaceId } from "../common/ids.ts";

/** Time constant of the exponential decay: after this long, usage counts about a third. */
const DECAY_MS = 5_000;
/** A workspace is over its share when its usage exceeds it by this factor. */
const SHARE_TOLERANCE = 1.1;

interface Usage {
  amount: number;
  atMs: number;
}

/** Tracks the recent usage of each workspace and finds those that are over their share. */
export class WorkspaceShares {
  #usages = new Map<WorkspaceId, Usage>();
  #weightOf: (workspace: WorkspaceId) => number;

  constructor(weightOf: (workspace: WorkspaceId) => number) {
    this.#weightOf = weightOf;
  }

  /** Adds usage, in any unit that is the same for all workspaces. */
  add(workspace: WorkspaceId, amount: number, nowMs: number): void {
    const usage = this.#usages.get(workspace);
    const before = usage ? decayed(usage, nowMs) : 0;
    this.#usages.set(workspace, { amount: before + amount, atMs: nowMs });
  }

  /**
   * Returns those of the given workspaces that have more than their weighted
   * share of the total recent usage.
   */
  overShare(
    workspaces: Iterable<WorkspaceId>,
    nowMs: number,
  ): Set<WorkspaceId> {
    let total = 0;
    let weights = 0;
    const amounts = new Map<WorkspaceId, number>();
    for (const [workspace, usage] of this.#usages) {
      const amount = decayed(usage, nowMs);
      if (amount < 1e-6) {
        this.#usages.delete(workspace);
        continue;
      }
      amounts.set(workspace, amount);
      total += amount;
      weights += this.#weightOf(workspace);
    }
    const over = new Set<WorkspaceId>();
    for (const workspace of workspaces) {
      const share = this.#weightOf(workspace) / weights;
      const amount = amounts.get(workspace) ?? 0;
      if (amount > total * share * SHARE_TOLERANCE) over.add(workspace);
    }
    return over;
  }
}

function decayed(usage: Usage, nowMs: number): number {
  return usage.amount * Math.exp((usage.atMs - nowMs) / DECAY_MS);
}
