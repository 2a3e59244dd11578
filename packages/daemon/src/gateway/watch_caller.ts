/** Notices callers that leave before their answer. */
import type { Exchange } from "../http/exchange.ts";
import { pacedOf } from "../http/paced_connection.ts";

/**
 * How long a request goes on whose caller has closed its half of the connection. Work
 * for callers that have left ends within half a second.
 */
const HALF_OPEN_MS = 250;
/** Part of that time that a request needs when it begins. */
const MIN_HALF_OPEN_SHARE = 0.5;

/**
 * Returns a signal that is aborted when the caller leaves before its answer is written.
 * The connection is watched, since a response has no `close` while it waits behind an
 * earlier one. A caller that closes its half may have left; VMs that do have.
 */
export function watchCaller(
  { incoming, response, logFields }: Exchange,
  { acceptsHops = false }: { acceptsHops?: boolean },
): AbortSignal {
  const connection = pacedOf(incoming.socket);
  const halfOpenMs = acceptsHops ? 0 : HALF_OPEN_MS;
  const abort = new AbortController();
  let timer: ReturnType<typeof setTimeout> | undefined;
  const noteLeft = () => {
    unwatch();
    if (response.writableFinished) return;
    logFields.callerLeft = true;
    abort.abort();
  };
  const noteHalfClose = () => {
    const { halfClosedAtMs } = connection;
    logFields.halfClosed = true;
    const leftMs = halfClosedAtMs! + halfOpenMs - performance.now();
    // What begins late would hardly be answered in time.
    if (leftMs <= MIN_HALF_OPEN_SHARE * halfOpenMs) noteLeft();
    else timer = setTimeout(noteLeft, leftMs);
  };
  const unwatch = () => {
    clearTimeout(timer);
    connection.off("halfClose", noteHalfClose);
    connection.off("close", noteLeft);
    response.off("close", noteLeft);
    response.off("finish", unwatch);
  };
  connection.setMaxListeners(0);
  connection.once("halfClose", noteHalfClose);
  connection.once("close", noteLeft);
  response.once("close", noteLeft);
  response.once("finish", unwatch);
  if (response.destroyed || connection.destroyed || connection.readableEnded) {
    noteLeft();
  } else if (connection.halfClosedAtMs !== null) noteHalfClose();
  return abort.signal;
}
