/** Dependencies shared by the runs of all routed requests of a VM. */
import type { DataCentre, ServiceName } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import type { CreditAdmission } from "../quotas/credit/types.ts";
import type { CallQueues } from "./call_queue.ts";
import type { CrashTracker } from "./crashes/tracker.ts";
import type { EndpointRecord } from "./endpoint_record.ts";
import type { EndpointRegistry } from "./endpoint_registry.ts";
import type { Forwarding } from "./links/forwarder.ts";
import type { OutputEstimates } from "./output_estimates.ts";
import type { RoutedEndpointPort } from "./port.ts";
import type { Placement } from "./placement/placement.ts";
import type { PrefillDelays } from "./prefill_delays.ts";
import type { PrefillTimes } from "./prefill_times.ts";
import type { ServiceBudget } from "./service_budget.ts";
import type { StopGate } from "./stop_gate.ts";
import type { StreamOrigins } from "./stream_origins.ts";
import type { RouteKind } from "./types.ts";
import type { ExpectedCost, StreamCost } from "./stages/demand.ts";

/** Phases of a request whose durations are measured. */
export type RequestPhase =
  /** From the arrival of the request to its reservation at a decode endpoint. */
  | "queue"
  | "prefill"
  /** From the arrival of the request to its first event. */
  | "first-event"
  /** The longest pause between two events. */
  | "gap"
  | "whole";

/** Receives the durations of request phases, by kind of route. */
export interface RequestTimes {
  note(phase: RequestPhase, kind: RouteKind, tookMs: number): void;
}

/** Discards all durations. */
export const NO_TIMES: RequestTimes = { note() {} };

/** The components and callbacks that request runs use. */
export interface RoutingContext {
  readonly dataCentre: DataCentre;
  readonly endpoints: EndpointRegistry;
  readonly budget: ServiceBudget;
  readonly callQueues: CallQueues;
  readonly placement: Placement;
  readonly prefillTimes: PrefillTimes;
  readonly prefillDelays: PrefillDelays;
  readonly outputs: OutputEstimates;
  readonly port: RoutedEndpointPort;
  readonly crashes: CrashTracker;
  readonly origins: StreamOrigins;
  /** Charges requests to the quotas of their workspaces. */
  readonly credit: CreditAdmission;
  /** The way of requests whose service this VM has lost its links to. */
  readonly forwarding: Forwarding;
  /** What is still sent while this VM is stopping. */
  readonly stop: Pick<StopGate, "refusalOf" | "noteDuration">;
  /** Whether calls are spread over plain endpoints by this VM's own recent sends. */
  readonly isBalancing: () => boolean;
  readonly observer: Observer;
  readonly times: RequestTimes;
  /** Called when an engine refused a stream for which it had reserved a place. */
  readonly noteRefusal: (endpoint: EndpointRecord) => void;
  /** Called with what each stream that arrives is expected to need. */
  readonly noteArrival: (service: ServiceName, cost: ExpectedCost) => void;
  /** Called with the resources that a stream used, once it has completed. */
  readonly noteStreamCost: (service: ServiceName, cost: StreamCost) => void;
  /** Returns a number from 0 (inclusive) to 1 (exclusive); seeded in tests. */
  readonly random: () => number;
}
