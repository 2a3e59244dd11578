/** What a routing VM needs from its surroundings. */
import type { ChangeBounds } from "./store_reads.ts";
import type { Observer } from "../common/observe.ts";
import type { VmIdentity } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { PlatformPort } from "../ports/platform.ts";
import type { RequestTimes } from "./context.ts";
import type { ForwardedNoticeListener, ForwardPort } from "./links/types.ts";
import type { CrashTable } from "./crashes/lasting_evidence.ts";
import type { OriginTable } from "./origin_record.ts";
import type { NoticeListener, RoutedEndpointPort } from "./port.ts";
import type { BudgetLimits } from "./service_budget.ts";
import type { FollowedTable } from "./table_feed.ts";
import type { EndpointChange, RoutingTable } from "./types.ts";

/** Connections of a routing VM to the platform, its peers and the endpoints. */
export interface RoutingVmPorts {
  readonly tables: FollowedTable<RoutingTable>;
  readonly endpoints: FollowedTable<EndpointChange>;
  /** Where streams began, as far as VMs have recorded it. */
  readonly origins: OriginTable;
  /** Crashes with prompt parts that may have caused them. */
  readonly crashes: CrashTable;
  readonly store: RoutingStore;
  readonly peers: PeerPort;
  /** Creates the port to the endpoints; the listener is called for each answer. */
  readonly calls: (listener: NoticeListener) => RoutedEndpointPort;
  /** Creates the port to the other VMs; the listener is called for endpoints' answers. */
  readonly forward: (listener: ForwardedNoticeListener) => ForwardPort;
}

/** The platform's list of VMs, and the rows that decide which VM may give stage orders. */
export interface RoutingStore
  extends Pick<PlatformPort, "listVms" | "transact" | "read" | "eras"> {
  /** Adds this VM to the platform's list. */
  register(identity: VmIdentity): Promise<void>;
}

/** Options of {@link RoutingVm}. */
export interface RoutingVmOptions {
  identity: VmIdentity;
  ports: RoutingVmPorts;
  observer: Observer;
  random: () => number;
  budget: () => BudgetLimits;
  /** Peer addresses for first contact. */
  contacts: () => readonly string[];
  times?: RequestTimes;
  /** Which choices are balanced; by default those between shards of engines. */
  balance?: () => { readonly engines: boolean; readonly calls: boolean };
  /** Whether this VM refuses requests because it has too many. */
  isBusy?: () => boolean;
  /** Times within which changes in the store have to be in use; by default those of small deployments. */
  bounds?: ChangeBounds;
  /** Called with each routing table that becomes active. */
  onTable?: (table: RoutingTable) => void;
}
