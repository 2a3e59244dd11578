/** Finds when the limits that endpoints name allow the next request. */
import type { EndpointRecord } from "../endpoint_record.ts";

/** Returns the time until one of the endpoints may be permitted a request; 0 for none of them. */
export function soonestPermitMs(
  endpoints: readonly EndpointRecord[],
  nowMs: number,
): number {
  if (endpoints.length === 0) return 0;
  const untilMs = endpoints.map(({ limitedUntilMs }) => limitedUntilMs);
  return Math.max(0, Math.min(...untilMs) - nowMs);
}
