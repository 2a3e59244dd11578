/** Distinguishes a resend from another call under the same key. */
import { digest } from "../../common/hash.ts";
import type { Digest } from "../../common/ids.ts";
import type { CallRequest, CallRow } from "../types.ts";

/**
 * Hashes the service's name and every part of a call that the service receives,
 * except the idempotency key.
 */
export function callDigest(call: CallRequest): Digest {
  const { service, method, path, contentType, body } = call;
  return digest(JSON.stringify([service, method, path, contentType, body]));
}

/** Whether a call has the same caller and content as the one of a row or a run. */
export function isSameCall(
  existing: Pick<CallRow, "caller" | "bodyDigest">,
  call: Pick<CallRow, "caller" | "bodyDigest">,
): boolean {
  return existing.caller === call.caller &&
    existing.bodyDigest === call.bodyDigest;
}
