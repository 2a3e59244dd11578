/** Fetches newer routing tables from other VMs. */
import { wait } from "../common/wait.ts";
import type { Probe } from "../membership/app.ts";
import type { Member, MembershipView } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import type { RoutingTable } from "./types.ts";

/** Limit for a peer to begin its answer. */
export const PEER_FETCH_TIMEOUT_MS = 500;
/** A table with thousands of routes takes seconds over the slowest links. */
export const PEER_FETCH_LIMIT_MS = 5_000;
/** Time for the store to bring a table that a peer has already; fetching it twice would halve a slow link. */
const STORE_HEAD_START_MS = 300;
/** How long a VM that starts waits for its peers' versions before it is ready. */
const START_COMPARE_MS = 1_000;

/** Options of {@link TableExchange}. */
export interface TableExchangeOptions {
  membership: Pick<MembershipView, "member">;
  peers: PeerPort;
  /** The active table; null before the first. */
  table: () => RoutingTable | null;
  setTable: (table: RoutingTable, options: { source: string }) => void;
  /** Whether tables can't be read from the store. */
  isStoreFailing: () => boolean;
}

/** Compares the version of the routing table with those in the probes of other VMs. */
export class TableExchange {
  #options: TableExchangeOptions;
  #fetching: Promise<void> | null = null;
  #isStarting = true;
  /** Versions of VMs whose tables could not be used. */
  #refused = new Map<string, number>();

  constructor(options: TableExchangeOptions) {
    this.#options = options;
  }

  /** Version of the active table; 0 before the first. */
  get version(): number {
    return this.#options.table()?.version ?? 0;
  }

  /** Whether the first peers have not yet told which table they have. */
  get isStarting(): boolean {
    return this.#isStarting;
  }

  /**
   * Waits until peers were contacted and a newer table of theirs was fetched, or a
   * second has passed. The store may have come back from a copy, with an older one.
   */
  async start(contactPeers: () => Promise<void>): Promise<void> {
    const compare = async () => {
      await contactPeers();
      await this.#fetching;
    };
    await Promise.race([compare(), wait(START_COMPARE_MS)]);
    this.#isStarting = false;
  }

  /** Fetches the table of the VM that sent a probe if it is newer. */
  compare({ from, configurationVersion }: Probe): void {
    const peer = this.#options.membership.member(from);
    if (!peer || this.#fetching || configurationVersion <= this.version) return;
    if (this.#refused.get(refusedKey(peer)) === configurationVersion) return;
    this.#fetching = this.#fetch(peer, configurationVersion)
      .finally(() => (this.#fetching = null));
  }

  async #fetch(peer: Member, version: number): Promise<void> {
    const { peers, setTable, isStoreFailing } = this.#options;
    if (!isStoreFailing() && !this.#isStarting) await wait(STORE_HEAD_START_MS);
    if (version <= this.version) return;
    const answer = await peers.call(peer, "routing/table", {
      params: { after: this.version },
      timeoutMs: PEER_FETCH_TIMEOUT_MS,
      wholeMs: PEER_FETCH_LIMIT_MS,
    });
    if (answer.isErr()) return;
    const { table, readsWorkspaces } = answer.value;
    // Without its workspaces, requests would run without keys. The VM of the previous
    // build is not asked again for this version, as it would be with each probe.
    if (table && !readsWorkspaces && !table.workspaces) {
      this.#refused.set(refusedKey(peer), version);
      return;
    }
    if (table) setTable(table, { source: peer.id });
  }
}

function refusedKey({ id, incarnation }: Member): string {
  return `${id} ${incarnation}`;
}
