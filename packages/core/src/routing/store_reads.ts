/**
 * Reckons how a VM has to read the store, and how long it may go by an earlier read.
 *
 * Changes have to be in use within fixed times after the store has acknowledged them,
 * but only for VMs that no fault has affected for `contactMs`. A fault may end just
 * after a read, without a sign of it: a connection that has become silent looks like
 * one without changes. Entries that a read no longer lists were removed, or they have
 * expired while the store was away; the latter are written again soon.
 */

/** Times that the platform sets. */
export interface ChangeBounds {
  /** Time without faults after which the bounds below apply to a VM. */
  readonly contactMs: number;
  /** Time after which an endpoint that leaves gets no more requests. */
  readonly drainMs: number;
  /** Time after which a configuration change must be in use; 3 s by default. */
  readonly configMs?: number;
}

/** The bounds of small deployments. */
export const DEFAULT_BOUNDS: ChangeBounds = {
  contactMs: 3_000,
  drainMs: 2_000,
};

/** Default time after which a configuration change must be in use. */
export const DEFAULT_CONFIG_MS = 3_000;

/** How a table of the store is followed. */
export interface ReadPlan {
  /** How long the store may hold a call that waits for changes. */
  readonly waitMs: number;
  /** Interval in which calls begin while they fail. */
  readonly retryMs: number;
  /** Maximum calls at a time while they fail. */
  readonly maxCalls: number;
}

/** Time beyond the wait after which a call without an answer has failed. */
export const ANSWER_MARGIN_MS = 900;
/** Entries that expired while the store was away are written again in this time. */
const REWRITE_MS = 2_200;
/** From the start of a read until a request that goes by it has reached its endpoint. */
const PATH_MS = 300;
/** Part of an interval by which it is shorter at random, so that VMs don't call together. */
export const RETRY_JITTER = 0.25;
const MIN_WAIT_MS = 500;
const MIN_RETRY_MS = 200;
const MAX_RETRY_MS = 600;

/**
 * Plans the reads of the configuration, which never lists less because of an outage. A
 * change may have been acknowledged just after a silence, and is due once that no
 * longer counts as a fault.
 */
export function planTableReads({ contactMs }: ChangeBounds): ReadPlan {
  return planReads({
    afterSilenceMs: contactMs,
    afterCutMs: contactMs,
    keepMs: 0,
  });
}

/** Plans the reads of the endpoints, which are kept for a while when they are missing. */
export function planEndpointReads(
  { contactMs, drainMs }: ChangeBounds,
): ReadPlan {
  return planReads({
    afterSilenceMs: contactMs + drainMs,
    afterCutMs: contactMs,
    keepMs: REWRITE_MS,
  });
}

function planReads(
  { afterSilenceMs, afterCutMs, keepMs }: {
    afterSilenceMs: number;
    afterCutMs: number;
    keepMs: number;
  },
): ReadPlan {
  const usableMs = keepMs + PATH_MS;
  const waitMs = afterSilenceMs - usableMs - ANSWER_MARGIN_MS;
  const retryMs = afterCutMs - usableMs;
  const boundedMs = Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, retryMs));
  const callsUntilFailed = ANSWER_MARGIN_MS / (boundedMs * (1 - RETRY_JITTER));
  return {
    waitMs: Math.max(MIN_WAIT_MS, waitMs),
    retryMs: boundedMs,
    // Several reads of a large row would fill a narrow link.
    maxCalls: retryMs > ANSWER_MARGIN_MS ? 1 : Math.ceil(callsUntilFailed),
  };
}

/** When reads began, on the monotonic clock. */
export interface ReadTimes {
  /** The last call that waits for changes, if it was the first to fail. */
  readonly waitedSinceMs: number;
  /** The last call that failed without having to wait; minus infinity if none did. */
  readonly failedAtMs: number;
}

/**
 * Returns until when an entry is used that the first read after failed ones no longer
 * lists: long enough for it to be written again, but not beyond the bounds for an
 * endpoint that has left. The fault was still there when the last failed call began;
 * if only a waiting call failed, its connection may have been silent all the time.
 */
export function keepMissingUntilMs(
  { contactMs, drainMs }: ChangeBounds,
  { regainedAtMs, reads: { waitedSinceMs, failedAtMs } }: {
    regainedAtMs: number;
    reads: ReadTimes;
  },
): number {
  const leftByMs = failedAtMs > waitedSinceMs
    ? failedAtMs + contactMs
    : waitedSinceMs + contactMs + drainMs;
  return Math.min(regainedAtMs + REWRITE_MS, leftByMs - PATH_MS);
}

/** Returns until when entries are kept that an earlier copy of the store may lack. */
export function keepAfterReturnMs(returnedAtMs: number): number {
  return returnedAtMs + REWRITE_MS;
}
