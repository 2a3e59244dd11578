/** Peer methods of routing. */
import { type App, createApp } from "../common/app.ts";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import type { DemandSample } from "./stages/demand.ts";
import type { PlacementHandlers } from "./placement/client.ts";
import type { Crash } from "./crash_tracker.ts";
import type { EndpointEntry, RoutingTable } from "./types.ts";

/** Peer methods of routing. */
export interface RoutingHandlers extends PlacementHandlers {
  /** Gives the table in force where it is newer than the one that the caller has. */
  "routing/table": (
    params: { after: number },
  ) => { table: RoutingTable | null };
  /** Gives all endpoints that the VM knows, for one that can't read the directory. */
  "routing/endpoints": () => {
    entries: readonly EndpointEntry[] | null;
  };
  /** Tells that an engine has been ordered to change its stage. */
  "routing/ordered": (
    params: { endpoint: EndpointId; forMs: number },
  ) => null;
  /** Tells of requests that were lost in crashes. */
  "routing/crashes": (params: { crashes: readonly Crash[] }) => null;
  /** Tells what streams of a service needed at this VM. */
  "routing/demand": (params: { service: ServiceName }) => DemandSample;
}

/** Lists the peer methods of routing. */
export function createRoutingApp(
  handlers: RoutingHandlers,
): App<RoutingHandlers> {
  return createApp<RoutingHandlers>(handlers);
}
