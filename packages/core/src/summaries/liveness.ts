/** Asks a VM whether it runs, over a connection that can't have gone silent. */
import type { PeerPort, PeerRef } from "../ports/peers.ts";
import type { Incarnation } from "../common/ids.ts";

const ALIVE_TIMEOUT_MS = 300;

/** Returns the incarnation that answers, or null when none does. */
export async function fetchIncarnation(
  peers: PeerPort,
  peer: PeerRef,
): Promise<Incarnation | null> {
  const answer = await peers.call(peer, "summaries/alive", {
    params: {},
    timeoutMs: ALIVE_TIMEOUT_MS,
    fresh: true,
  });
  return answer.isOk() ? answer.value.incarnation : null;
}
