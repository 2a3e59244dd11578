/** Dependencies, components and policies of a VM. */
import type { ConfigurationPolicies } from "../configuration/task.ts";
import type { CallPolicies } from "../calls/policies.ts";
import type { OrdersPolicies } from "../orders/task.ts";
import type { EnginePort } from "../ports/engines.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { PlatformPort } from "../ports/platform.ts";
import type { ServicePort } from "../ports/services.ts";
import type { MembershipPolicies } from "../membership/view.ts";
import type { VmIdentity } from "../membership/types.ts";
import type { SummaryPolicies } from "../summaries/policies.ts";
import type { Observer } from "../common/observe.ts";
import type { InProgressTracker } from "./in_progress.ts";
import type { ShutdownPolicies } from "./graceful_shutdown.ts";

/** Interfaces to the systems outside a VM. */
export interface VmPorts {
  readonly platform: PlatformPort;
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly peers: PeerPort;
}

/** Dependencies that all tasks of a VM share. */
export interface VmContext {
  readonly identity: VmIdentity;
  readonly ports: VmPorts;
  readonly observer: Observer;
  /** Returns a number from 0 up to but not including 1; seeded in tests. */
  readonly random: () => number;
  /** Counts work that continues after its answer, such as writing a row. */
  readonly inProgress?: InProgressTracker;
}

/** A component of a VM that is started and stopped with it. */
export interface VmTask {
  start(): Promise<void> | void;
  stop(): Promise<void> | void;
}

/**
 * Overrides of the default policies of a VM's components. Tests use them to turn
 * steps and checks off.
 */
export interface VmPolicies {
  readonly calls?: Partial<CallPolicies>;
  readonly configuration?: Partial<ConfigurationPolicies>;
  readonly membership?: Partial<MembershipPolicies>;
  readonly orders?: Partial<OrdersPolicies>;
  readonly stop?: Partial<ShutdownPolicies>;
  readonly summaries?: Partial<SummaryPolicies>;
}
