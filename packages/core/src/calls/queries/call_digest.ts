/** Tells a resend from another call under the same key. */
import { digest } from "../../common/hash.ts";
import type { Digest } from "../../common/ids.ts";
import type { CallRequest, CallRow } from "../types.ts";

/** Digests all that a call consists of. */
export function callDigest(call: CallRequest): Digest {
  const { service, method, path, contentType, body } = call;
  return digest(JSON.stringify([service, method, path, contentType, body]));
}

/** Whether a call is the one that a row or a run is about: of the same caller and content. */
export function isSameCall(
  known: Pick<CallRow, "caller" | "bodyDigest">,
  call: Pick<CallRow, "caller" | "bodyDigest">,
): boolean {
  return known.caller === call.caller && known.bodyDigest === call.bodyDigest;
}
