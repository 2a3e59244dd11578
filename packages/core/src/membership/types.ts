/** Types of membership: the VMs of the deployment as one of them sees them. */
import type { Observer } from "../common/observe.ts";
import type { RunOwner } from "../ports/engines.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { PlatformPort } from "../ports/platform.ts";
import type { DataCentre, Incarnation, Region, VmId } from "../common/ids.ts";

/** The components of the VM that membership uses. */
export interface MembershipContext {
  readonly identity: VmIdentity;
  readonly ports: {
    readonly platform: Pick<PlatformPort, "listVms">;
    readonly peers: PeerPort;
  };
  readonly observer: Observer;
  /** Returns a number in [0, 1); seeded in tests. */
  readonly random: () => number;
}

/** A VM's identity and addresses; the incarnation is new at each start. */
export interface VmIdentity {
  readonly id: VmId;
  readonly incarnation: Incarnation;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly callerAddress: string;
  readonly peerAddress: string;
}

/**
 * State of a VM in the local view. `suspected`: it stopped answering this VM or
 * another one; `leaving`: it is about to stop; `dead`: it stayed suspected while it
 * was leaving or not listed by the platform.
 */
export type VmState = "live" | "suspected" | "leaving" | "dead";

/** A VM in the local view. */
export interface Member {
  readonly id: VmId;
  /** Null until a probe, an answer or an update has carried it. */
  readonly incarnation: Incarnation | null;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: VmState;
}

/** Location and addresses of a VM. */
export type MemberPlace = Pick<
  Member,
  "dataCentre" | "region" | "callerAddress" | "peerAddress"
>;

/** Update about one VM, sent in the `news` of probes and answers. */
export interface MemberUpdate {
  readonly id: VmId;
  readonly incarnation: Incarnation | null;
  /**
   * Raised by the VM that the update is about, and by no other; a higher version
   * replaces a lower one.
   */
  readonly statusVersion: number;
  readonly state: VmState;
  /** Included where the receiver may not know the VM yet. */
  readonly place?: MemberPlace;
}

/** Read access to the current view. Members are replaced, never modified in place. */
export interface MembershipView {
  readonly self: VmIdentity;
  /** Returns all known VMs, this one included. */
  members(): readonly Member[];
  member(id: VmId): Member | undefined;
  /**
   * Returns the home of a key: the VM that rendezvous hashing picks for it among
   * the live and reachable VMs of this VM's region, or this VM if there are none.
   */
  homeOf(key: string): Member;
}

/** Called with the current members after a visible change of the view. */
export type ViewListener = (members: readonly Member[]) => void;

/** Notifies of changes of the view, so that owners register again with new homes. */
export interface ViewChanges {
  /** Adds a listener; the returned function removes it. */
  onChange(listener: ViewListener): () => void;
}

/** Checks whether an incarnation (one start) of a VM has ended. */
export interface IncarnationCheck {
  /**
   * Returns true only with evidence that the incarnation has ended: the VM answers
   * with another incarnation, or it has not answered for a while and the platform
   * no longer lists it. False means that this is not known yet; retry later.
   */
  confirmEnded(owner: RunOwner): Promise<boolean>;
}
