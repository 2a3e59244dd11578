/**
 * Checks whether a VM is running. The check opens a new connection, as a kept
 * one may have become unresponsive.
 */
import type { PeerPort, PeerRef } from "../ports/peers.ts";
import type { Incarnation } from "../common/ids.ts";

const LIVENESS_TIMEOUT_MS = 300;

/** Returns the incarnation of the peer; null when it doesn't answer in time. */
export async function fetchIncarnation(
  peers: PeerPort,
  peer: PeerRef,
): Promise<Incarnation | null> {
  const answer = await peers.call(peer, "summaries/alive", {
    params: {},
    timeoutMs: LIVENESS_TIMEOUT_MS,
    fresh: true,
  });
  return answer.isOk() ? answer.value.incarnation : null;
}
