/** Decisions that a test may replace to show that a mechanism is necessary. */

/**
 * A working event loop has no heartbeat gap longer than this. During a longer
 * gap, a peer may have taken over the summaries of this VM.
 */
const FREEZE_GAP_MS = 400;

/** The decisions that summaries depend on. */
export interface SummaryPolicies {
  /** Whether a newer connection takes over the stream of an older one. */
  readonly takesOver: () => boolean;
  /** Whether an event belongs to a stage that is no longer the current one. */
  readonly isStale: (stage: number, current: number) => boolean;
  /** Whether tokens that begin at `offset` are the next ones for the caller. */
  readonly isNext: (offset: number, nextOffset: number) => boolean;
  /**
   * Whether a stream is cancelled whose owner was lost `ownerLostForMs` ago.
   */
  readonly isOrphan: (ownerLostForMs: number, takeoverMs: number) => boolean;
  /** Whether a cancel that was not acknowledged is repeated. */
  readonly repeatsCancel: () => boolean;
  /** Whether a gap between heartbeats means that the process did not run. */
  readonly isFreeze: (gapMs: number) => boolean;
  /** Whether a request is checked for earlier engine crashes before it runs. */
  readonly checksSuspects: () => boolean;
}

/** The decisions used in production. */
export const SUMMARY_POLICIES: SummaryPolicies = {
  takesOver: () => true,
  isStale: (stage, current) => stage !== current,
  isNext: (offset, nextOffset) => offset === nextOffset,
  isOrphan: (ownerLostForMs, takeoverMs) => ownerLostForMs >= takeoverMs,
  repeatsCancel: () => true,
  isFreeze: (gapMs) => gapMs > FREEZE_GAP_MS,
  checksSuspects: () => true,
};
