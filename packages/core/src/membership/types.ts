/** The VMs of the deployment as one of them sees them. */
import type { Observer } from "../common/observe.ts";
import type { RunOwner } from "../ports/engines.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { PlatformPort } from "../ports/platform.ts";
import type { DataCentre, Incarnation, Region, VmId } from "../common/ids.ts";

/** What membership needs of the VM that it runs in. */
export interface MembershipContext {
  readonly identity: VmIdentity;
  readonly ports: {
    readonly platform: Pick<PlatformPort, "listVms">;
    readonly peers: PeerPort;
  };
  readonly observer: Observer;
  /** A number from 0 up to 1; seeded in tests. */
  readonly random: () => number;
}

/** A VM's own identity, from its settings and its start. */
export interface VmIdentity {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly callerAddress: string;
  readonly peerAddress: string;
}

/** What is believed of a VM. */
export type VmState = "live" | "suspected" | "leaving" | "dead";

/** A member of the view. */
export interface Member {
  readonly id: VmId;
  /** Unknown until its first probe is answered. */
  readonly incarnation: Incarnation | null;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: VmState;
}

/** Where a VM is and how it is reached. */
export type MemberPlace = Pick<
  Member,
  "dataCentre" | "region" | "callerAddress" | "peerAddress"
>;

/** What one VM tells of another, as it travels on probes. */
export interface MemberUpdate {
  readonly id: VmId;
  readonly incarnation: Incarnation | null;
  /** Raised only by the VM itself; the higher one replaces the lower. */
  readonly statusVersion: number;
  readonly state: VmState;
  /** Sent where the receiver may not know the VM yet. */
  readonly place?: MemberPlace;
}

/** Reads the current view. Views change by replacement, never in place. */
export interface MembershipView {
  readonly self: VmIdentity;
  /** All known VMs, this one included. */
  members(): readonly Member[];
  member(id: VmId): Member | undefined;
  /** The VM that is home for a key: among live VMs of this VM's region. */
  homeOf(key: string): Member;
}

/** Told of a change in the view. */
export type ViewListener = (members: readonly Member[]) => void;

/** Tells of changes, so that owners register again with new homes. */
export interface ViewChanges {
  /** Adds a listener; the function returned removes it. */
  onChange(listener: ViewListener): () => void;
}

/** Tells whether one start of a VM has ended. */
export interface IncarnationCheck {
  /**
   * True only with evidence that this start of the VM has ended: it answers as
   * another start, or it has not answered for a while and the platform no
   * longer lists it. False says nothing; ask again later.
   */
  confirmEnded(owner: RunOwner): Promise<boolean>;
}
