/** What a VM is built from, and the faces that it shows. */
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

/** The outside as a VM reaches it. */
export interface VmPorts {
  readonly platform: PlatformPort;
  readonly engines: EnginePort;
  readonly services: ServicePort;
  readonly peers: PeerPort;
}

/** What every task of a VM is given. */
export interface VmContext {
  readonly identity: VmIdentity;
  readonly ports: VmPorts;
  readonly observer: Observer;
  /** A number from 0 up to 1; seeded in tests. */
  readonly random: () => number;
  /** Told of work that outlives its answer, for instance a row that is still being written. */
  readonly inProgress?: InProgressTracker;
}

/** A part of a VM that is started and stopped with it. */
export interface VmTask {
  start(): Promise<void> | void;
  stop(): Promise<void> | void;
}

/** Decisions that replace a VM's own, by domain; tests take mechanisms away with them. */
export interface VmPolicies {
  readonly calls?: Partial<CallPolicies>;
  readonly configuration?: Partial<ConfigurationPolicies>;
  readonly membership?: Partial<MembershipPolicies>;
  readonly orders?: Partial<OrdersPolicies>;
  readonly stop?: Partial<ShutdownPolicies>;
  readonly summaries?: Partial<SummaryPolicies>;
}
