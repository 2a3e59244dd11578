/** Finds how long an endpoint may go on with the requests that it has begun. */
import type { ServiceName } from "../../common/ids.ts";
import type { RoutingTable } from "../types.ts";

/** Returns the longest timeout of the routes to a service, in milliseconds; 0 without any. */
export function longestRunMs(
  table: RoutingTable | null,
  service: ServiceName,
): number {
  const timeoutsMs = (table?.routes ?? [])
    .filter(({ destinations }) =>
      destinations.some((destination) => destination.service === service)
    )
    .map(({ timeoutMs }) => timeoutMs);
  return timeoutsMs.reduce((longest, ms) => Math.max(longest, ms), 0);
}
