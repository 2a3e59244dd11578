/** Weighted shares of a shard between workspaces. */
import type { WorkspaceId } from "../common/ids.ts";

/** Time after which earlier use counts a third. */
const MEMORY_MS = 5_000;
/** A workspace that used this much more than its share is over it. */
const TOLERANCE = 1.1;

interface Use {
  amount: number;
  atMs: number;
}

/** Keeps what each workspace used lately, and tells which are over their share. */
export class WorkspaceShares {
  #uses = new Map<WorkspaceId, Use>();
  #weightOf: (workspace: WorkspaceId) => number;

  constructor(weightOf: (workspace: WorkspaceId) => number) {
    this.#weightOf = weightOf;
  }

  /** Adds use, in any unit that is the same for all. */
  add(workspace: WorkspaceId, amount: number, nowMs: number): void {
    const use = this.#uses.get(workspace);
    const before = use ? decayed(use, nowMs) : 0;
    this.#uses.set(workspace, { amount: before + amount, atMs: nowMs });
  }

  /** The workspaces that have used more than their weighted share of what was used. */
  overShare(
    workspaces: Iterable<WorkspaceId>,
    nowMs: number,
  ): Set<WorkspaceId> {
    let total = 0;
    let weights = 0;
    const amounts = new Map<WorkspaceId, number>();
    for (const [workspace, use] of this.#uses) {
      const amount = decayed(use, nowMs);
      if (amount < 1e-6) {
        this.#uses.delete(workspace);
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
      if (amount > total * share * TOLERANCE) over.add(workspace);
    }
    return over;
  }
}

function decayed(use: Use, nowMs: number): number {
  return use.amount * Math.exp((use.atMs - nowMs) / MEMORY_MS);
}
