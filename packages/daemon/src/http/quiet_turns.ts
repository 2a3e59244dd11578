/** Waits until what the kernel holds for this process has been accepted and read. */

/**
 * A turn accepts one connection of a listener; what it sent is read in the same or the
 * next one, and a request that waits behind another is parsed in one more.
 */
const QUIET_TURNS = 3;
/**
 * Callers that come again and again leave no such turns. After this time one turn is
 * enough in which no connection was accepted and nothing is left unread.
 */
const MAX_QUIET_WAIT_MS = 500;

/** After a turn that took longer, the process may have stood still, and not looked yet. */
const STALL_MS = 100;

/** What has arrived up to now. */
export interface Arrivals {
  readonly connections: number;
  readonly requests: number;
  /** Whether requests may wait behind others on their connections. */
  readonly hasUnread: () => boolean;
}

/** Resolves after turns of the event loop in which nothing arrived. */
export function awaitQuietTurns(arrivals: () => Arrivals): Promise<void> {
  return new Promise((resolve) => {
    const sinceMs = performance.now();
    let turnedAtMs = sinceMs;
    let quietTurns = 0;
    let seen = arrivals();
    const check = () => {
      const nowMs = performance.now();
      const isStall = nowMs - turnedAtMs > STALL_MS;
      turnedAtMs = nowMs;
      const current = arrivals();
      const accepted = isStall || current.connections !== seen.connections;
      const isQuiet = !accepted && current.requests === seen.requests;
      quietTurns = isQuiet ? quietTurns + 1 : 0;
      seen = current;
      const isLong = nowMs - sinceMs > MAX_QUIET_WAIT_MS;
      const isEnough = isLong && !accepted && !current.hasUnread();
      if (quietTurns > QUIET_TURNS || isEnough) resolve();
      else setImmediate(check);
    };
    setImmediate(check);
  });
}
