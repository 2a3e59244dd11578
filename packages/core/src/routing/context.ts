/** What the runs of routed requests share. */
import type { DataCentre, ServiceName } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import type { CrashTracker } from "./crash_tracker.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { RoutedEndpointPort } from "./port.ts";
import type { Placement } from "./placement/client.ts";
import type { PrefillTimes } from "./prefill_times.ts";
import type { ServiceBudget } from "./service_budget.ts";
import type { RouteKind } from "./types.ts";
import type { StreamCost } from "./stages/demand.ts";

/** Parts of a request that are timed. */
export type RequestPhase =
  /** From the request to its place at a decode endpoint. */
  | "queue"
  | "prefill"
  /** From the request to its first event. */
  | "first-event"
  /** The longest pause between two events. */
  | "gap"
  | "whole";

/** Receives how long parts of requests took, by kind of route. */
export interface RequestTimes {
  note(phase: RequestPhase, kind: RouteKind, tookMs: number): void;
}

/** Keeps no times. */
export const NO_TIMES: RequestTimes = { note() {} };

/** Shared by all runs of one VM. */
export interface RoutingContext {
  readonly dataCentre: DataCentre;
  readonly endpoints: EndpointRegistry;
  readonly budget: ServiceBudget;
  readonly placement: Placement;
  readonly prefillTimes: PrefillTimes;
  readonly port: RoutedEndpointPort;
  readonly crashes: CrashTracker;
  readonly observer: Observer;
  readonly times: RequestTimes;
  /** Told of the prompt of each stream that comes. */
  readonly noteArrival: (service: ServiceName, promptTokens: number) => void;
  /** Told what each stream took that ended well. */
  readonly noteStreamCost: (service: ServiceName, cost: StreamCost) => void;
  /** A number from 0 up to 1; seeded in tests. */
  readonly random: () => number;
}
