/**
 * Decisions of summaries, as functions that a test can replace one by one, to
 * show that summaries fail without them.
 */

/**
 * A working event loop has no heartbeat gap longer than this. During a longer
 * gap, a peer may have taken over the summaries of this VM.
 */
const FREEZE_GAP_MS = 400;

/** Decisions of summaries, see {@link SUMMARY_POLICIES}. */
export interface SummaryPolicies {
  /** Whether a newer connection takes over the stream of an older one. */
  readonly takesOver: () => boolean;
  /** Whether an event belongs to an operation that is no longer current. */
  readonly isStale: (operation: number, current: number) => boolean;
  /** Whether tokens that begin at `offset` are the next ones for the caller. */
  readonly isNext: (offset: number, nextOffset: number) => boolean;
  /**
   * Whether to cancel a stream, given the time since its owner was lost and the
   * time that the caller has to resume the stream at another VM.
   */
  readonly isOrphan: (ownerLostForMs: number, takeoverMs: number) => boolean;
  /** Whether a cancel that was not acknowledged is repeated. */
  readonly repeatsCancel: () => boolean;
  /** Whether a gap between heartbeats means that the process did not run. */
  readonly isFreeze: (gapMs: number) => boolean;
  /** Whether a request is checked for earlier engine crashes before it runs. */
  readonly checksSuspects: () => boolean;
}

/** The decisions that VMs use unless a test replaces them. */
export const SUMMARY_POLICIES: SummaryPolicies = {
  takesOver: () => true,
  isStale: (operation, current) => operation !== current,
  isNext: (offset, nextOffset) => offset === nextOffset,
  isOrphan: (ownerLostForMs, takeoverMs) => ownerLostForMs >= takeoverMs,
  repeatsCancel: () => true,
  isFreeze: (gapMs) => gapMs > FREEZE_GAP_MS,
  checksSuspects: () => true,
};
