/** Workspace quotas of one VM: the accounts that it is home of, and its own requests. */
import type { WorkspaceId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";
import type { MembershipView, ViewChanges } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { RoutingTable } from "../../routing/types.ts";
import type { WorkspaceQuota } from "../../routing/workspaces/types.ts";
import { CreditClient } from "./client.ts";
import { CreditHome } from "./home.ts";
import type {
  CreditAdmission,
  CreditHandlers,
  CreditRequest,
} from "./types.ts";
import { VmShares } from "./vm_shares.ts";

/** No request waits for it. */
const HAND_OVER_TIMEOUT_MS = 500;

/** Options of {@link CreditTask}. */
export interface CreditTaskOptions {
  membership:
    & Pick<MembershipView, "self" | "members" | "homeOf">
    & ViewChanges;
  peers: PeerPort;
  observer: Observer;
}

/** Admits requests within the quotas of the active routing table. */
export class CreditTask implements CreditAdmission {
  /** Peer methods backed by the accounts of this VM. */
  readonly handlers: CreditHandlers;
  #shares: VmShares;
  #home: CreditHome;
  #client: CreditClient;
  #tableVersion = 0;
  #stopListening: () => void;

  constructor(options: CreditTaskOptions) {
    this.#shares = new VmShares(options);
    const shares = this.#shares;
    this.#home = new CreditHome({
      ...options,
      shares,
      onHandOver: (home, handOver) =>
        void options.peers.call(home, "routing/credit-handed-over", {
          params: handOver,
          timeoutMs: HAND_OVER_TIMEOUT_MS,
        }),
    });
    this.#client = new CreditClient({
      ...options,
      shares,
      home: this.#home,
      tableVersion: () => this.#tableVersion,
    });
    this.#stopListening = options.membership.onChange(() =>
      this.#home.noteViewChange()
    );
    this.handlers = {
      "routing/credit": (draw) => {
        shares.noteCall(draw.vm, true);
        shares.noteKnown(draw.knownVms);
        return this.#home.grant(draw);
      },
      "routing/credit-handed-over": (handOver) => {
        shares.noteKnown(handOver.knownVms);
        this.#home.takeOver(handOver);
        return null;
      },
    };
  }

  admit(request: CreditRequest) {
    return this.#client.admit(request);
  }

  /** Applies the quotas of a table that became active. */
  setTable({ version, workspaces = [] }: RoutingTable): void {
    const quotas = new Map<WorkspaceId, WorkspaceQuota>();
    for (const { id, quota } of workspaces) if (quota) quotas.set(id, quota);
    this.#tableVersion = version;
    this.#home.setQuotas({ version, quotas });
    this.#client.keepOnly(quotas);
  }

  /** Records that another VM was heard of. */
  noteContact(): void {
    this.#shares.noteContact();
  }

  /** Records that this process stood still. */
  noteStall(): void {
    this.#home.noteStall();
  }

  stop(): void {
    this.#stopListening();
    this.#client.stop();
  }
}
