/** Decisions that a test may replace to show that a mechanism is needed. */

/** A gap that the event loop doesn't show while it works; a peer may have taken over meanwhile. */
const FREEZE_GAP_MS = 400;

/** Decisions of summaries. */
export interface SummaryPolicies {
  /** Whether a newer connection takes the stream over from an older one. */
  readonly takesOver: () => boolean;
  /** Whether an event belongs to an earlier stage than the current one. */
  readonly isStale: (stage: number, current: number) => boolean;
  /** Whether tokens from an offset are those that the caller needs next. */
  readonly isNext: (offset: number, nextOffset: number) => boolean;
  /** Whether a stream whose owner has been gone for a time is cancelled. */
  readonly isOrphan: (goneForMs: number, adoptionMs: number) => boolean;
  /** Whether a cancel that was not acknowledged is sent again. */
  readonly repeatsCancel: () => boolean;
  /** Whether a gap between heartbeats means that the VM did not run. */
  readonly isFreeze: (gapMs: number) => boolean;
  /** Whether it is asked if a request crashed an engine before. */
  readonly checksSuspects: () => boolean;
}

/** The decisions in use. */
export const SUMMARY_POLICIES: SummaryPolicies = {
  takesOver: () => true,
  isStale: (stage, current) => stage !== current,
  isNext: (offset, nextOffset) => offset === nextOffset,
  isOrphan: (goneForMs, adoptionMs) => goneForMs >= adoptionMs,
  repeatsCancel: () => true,
  isFreeze: (gapMs) => gapMs > FREEZE_GAP_MS,
  checksSuspects: () => true,
};
