/** Methods that routing VMs call on each other. */
import { type App, createApp } from "../common/app.ts";
import type { EndpointId, ServiceName } from "../common/ids.ts";
import type { CreditHandlers } from "../quotas/credit/types.ts";
import type { DemandSample } from "./stages/demand.ts";
import type { PlacementHandlers } from "./placement/handlers.ts";
import type { CrashHandlers } from "./crashes/exchange.ts";
import type { LimitHandlers } from "./limits/endpoint_limits.ts";
import type { LinkHandlers } from "./links/types.ts";
import type { OriginHandlers } from "./stream_origins.ts";
import type { EndpointEntry, RoutingTable } from "./types.ts";

/** A routing table, from one VM to another. */
export interface TableAnswer {
  readonly table: RoutingTable | null;
  /**
   * Time since the active table of the VM is known to have been the newest one; null if
   * it never was, absent in answers of the previous build.
   */
  readonly ageMs?: number | null;
  /** Absent in answers of the previous build, whose tables lack the workspaces. */
  readonly readsWorkspaces?: true;
}

/** Handlers of the peer methods, by method name. */
export interface RoutingHandlers
  extends
    PlacementHandlers,
    OriginHandlers,
    CrashHandlers,
    LimitHandlers,
    LinkHandlers,
    CreditHandlers {
  /** Returns the active table if its version is above `after`, otherwise null. */
  "routing/table": (
    params: { after: number },
  ) => TableAnswer;
  /**
   * Returns all endpoints in this VM's registry, for a VM that can't read the
   * directory; null if this VM has not received a list yet.
   */
  "routing/endpoints": () => {
    entries: readonly EndpointEntry[] | null;
  };
  /**
   * Notifies this VM that an engine was ordered to change its stage and takes no
   * work until its entry shows the new one, at most for `forMs`.
   */
  "routing/ordered": (
    params: { endpoint: EndpointId; forMs: number },
  ) => null;
  /** Asks this VM to give a service's stage orders in place of their home for a while. */
  "routing/take-stages": (params: { service: ServiceName }) => {
    taken: boolean;
  };
  /** Returns the recent resource demand of a service's streams at this VM. */
  "routing/demand": (params: { service: ServiceName }) => DemandSample;
}

/** Creates the peer app of routing from its handlers. */
export function createRoutingApp(
  handlers: RoutingHandlers,
): App<RoutingHandlers> {
  return createApp<RoutingHandlers>(handlers);
}
