/** Waits until what the kernel holds for this process has been accepted and read. */

/**
 * A turn accepts one connection of a listener; what it sent is read in the same or the
 * next one, and a request that waits behind another is parsed in one more.
 */
const QUIET_TURNS = 3;

/** Resolves after turns of the event loop in which the number of arrivals didn't change. */
export function awaitQuietTurns(arrivals: () => number): Promise<void> {
  return new Promise((resolve) => {
    let quietTurns = 0;
    let seen = arrivals();
    const check = () => {
      const current = arrivals();
      quietTurns = current === seen ? quietTurns + 1 : 0;
      seen = current;
      if (quietTurns > QUIET_TURNS) resolve();
      else setImmediate(check);
    };
    setImmediate(check);
  });
}
