/** Parses the timestamp in a caller's idempotency key. */
import type { RequestId } from "../../common/ids.ts";

const UUID_V7 =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/**
 * Returns when a key was created, in ms of `Date.now`; undefined unless it is a
 * version 7 UUID.
 */
export function parseKeyCreatedAtMs(request: RequestId): number | undefined {
  const parts = UUID_V7.exec(request);
  return parts ? parseInt(`${parts[1]}${parts[2]}`, 16) : undefined;
}
