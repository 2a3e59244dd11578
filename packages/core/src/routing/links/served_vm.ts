/**
 * Finds out from the requests of several VMs that one of them has lost its links, for
 * endpoints whose rate limits leave no permits for checks: endpoints to which the sends
 * of this VM failed have since answered sends of another.
 */
import type { EndpointId } from "../../common/ids.ts";
import type { Member } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { GroupLinks } from "./group_links.ts";

/** Endpoints that must have answered others; a single one may have failed in between. */
const MIN_ENDPOINTS = 2;
/** VMs asked first; each has few permits, so that further ones are asked as well. */
const FIRST_ASKED_VMS = 3;
const ASKED_VMS_FACTOR = 3;
/** VMs answer from memory. */
const ASK_TIMEOUT_MS = 200;

/** Options of {@link findServedVm}. */
export interface FindServedVmOptions {
  usable: readonly EndpointRecord[];
  /** VMs to ask, in this order. */
  others: readonly Member[];
  peers: PeerPort;
}

/**
 * Returns a VM that endpoints answered after they had not answered this one; null if
 * too few have. If the group has one endpoint only, that one suffices.
 */
export async function findServedVm(
  links: GroupLinks,
  { usable, others, peers }: FindServedVmOptions,
): Promise<Member | null> {
  const minEndpoints = Math.min(MIN_ENDPOINTS, usable.length);
  const answered = new Set<EndpointId>();
  const isShown = () =>
    (Object.keys(links.sends.failedAgoMs()) as EndpointId[])
      .filter((id) => answered.has(id)).length >= minEndpoints;
  let count = FIRST_ASKED_VMS;
  for (let from = 0; from < others.length; from += count / ASKED_VMS_FACTOR) {
    const failedAgoMs = links.sends.failedAgoMs();
    if (Object.keys(failedAgoMs).length < minEndpoints) return null;
    let witness: Member | null = null;
    await Promise.all(
      others.slice(from, from + count).map(async (peer) => {
        const answer = await peers.call(peer, "routing/check-links", {
          params: { ...links.group, endpoint: null, failedAgoMs },
          timeoutMs: ASK_TIMEOUT_MS,
        });
        // A VM of the previous build doesn't name them.
        const named = answer.isOk() ? answer.value.answered ?? [] : [];
        for (const id of named) answered.add(id);
        if (named.length > 0) witness = peer;
      }),
    );
    // Sends of this VM may have been answered meanwhile.
    if (witness && isShown()) return witness;
    count *= ASKED_VMS_FACTOR;
  }
  return null;
}
