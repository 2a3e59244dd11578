/** The VMs of the deployment as one of them sees them. */
import type { DataCentre, Incarnation, Region, VmId } from "../shared/ids.ts";

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
