/** Peer methods of routing. */
import { type App, createApp } from "../common/app.ts";
import type { ServiceName } from "../common/ids.ts";
import type { DemandSample } from "./stages/demand.ts";
import type { RoutingTable } from "./types.ts";

/** Peer methods of routing. */
export interface RoutingHandlers {
  /** Gives the table in force where it is newer than the one that the caller has. */
  "routing/table": (
    params: { after: number },
  ) => { table: RoutingTable | null };
  /** Tells what streams of a service needed at this VM. */
  "routing/demand": (params: { service: ServiceName }) => DemandSample;
}

/** Lists the peer methods of routing. */
export function createRoutingApp(
  handlers: RoutingHandlers,
): App<RoutingHandlers> {
  return createApp<RoutingHandlers>(handlers);
}
