/**
 * Order of the streams that wait for engines, where streams of several priorities or
 * workspaces ask for more than there is.
 */

/** What decides the place of a waiting stream. */
export interface OrderedStream {
  /** Lower ranks go first. */
  readonly rank: number;
  /** Whether its workspace has already used its fair share. */
  readonly isOverShare: boolean;
  /** The latest time at which it can start and still meet its target. */
  readonly latestMs: number;
  /** Tokens that its workspace has used lately. */
  readonly usedTokens: number;
}

/**
 * Compares two waiting streams; negative if `a` goes first. Streams of workspaces beyond
 * their fair share follow those of the others: latest start times alone would let the
 * queue of one workspace delay and displace the streams of all.
 */
export function compareWaiting(a: OrderedStream, b: OrderedStream): number {
  return a.rank - b.rank ||
    Number(a.isOverShare) - Number(b.isOverShare) ||
    a.latestMs - b.latestMs ||
    a.usedTokens - b.usedTokens;
}

/**
 * Returns the max-min fair level: the amount per weight at which demands have to be
 * capped so that they add up to `total`. Infinite if all demands fit.
 */
export function fairLevel(
  demands: readonly { amount: number; weight: number }[],
  total: number,
): number {
  const sorted = demands.map(({ amount, weight }) => ({
    amount,
    weight,
    level: amount / weight,
  })).sort((a, b) => a.level - b.level);
  let left = total;
  let weightLeft = sorted.reduce((sum, { weight }) => sum + weight, 0);
  for (const { amount, weight, level } of sorted) {
    if (level > left / weightLeft) return left / weightLeft;
    left -= amount;
    weightLeft -= weight;
  }
  return Infinity;
}
