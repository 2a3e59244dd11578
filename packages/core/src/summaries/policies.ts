/** What a test may replace to show that a mechanism is needed. */

/** Policies of summaries. */
export interface SummaryPolicies {
  /** Whether a newer connection closes an older one with the same key. */
  readonly supersedes: boolean;
  /** Drops events of an older attachment, and tokens that were sent before. */
  readonly dropsStaleEvents: boolean;
  /** Whether orphaned streams are cancelled by the shard's home. */
  readonly sweeps: boolean;
  /** Whether a cancel is repeated until it is acknowledged. */
  readonly repeatsCancels: boolean;
  /** Whether ownership is checked again after the VM did not run for a while. */
  readonly checksAfterFreeze: boolean;
  /** Whether requests that crash engines are told apart and refused. */
  readonly convicts: boolean;
}

/** The policies in use. */
export const SUMMARY_POLICIES: SummaryPolicies = {
  supersedes: true,
  dropsStaleEvents: true,
  sweeps: true,
  repeatsCancels: true,
  checksAfterFreeze: true,
  convicts: true,
};
