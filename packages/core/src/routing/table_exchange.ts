/**
 * Compares routing table versions between VMs and fetches newer tables from them, so that
 * a VM that can't read the store doesn't serve forwarded requests by an older table.
 */
import type { Incarnation, VmId } from "../common/ids.ts";
import { notRun, type Refusal } from "../common/verdict.ts";
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
/**
 * The same while forwarded requests wait for the table; these have latency targets of
 * little more than 100 ms.
 */
const AWAITED_HEAD_START_MS = 40;
/** Delay before a table is requested again for waiting requests. */
const REFETCH_MS = 50;
/** Longest wait of a forwarded request for a table; another VM may have it already. */
const MAX_TABLE_WAIT_MS = 250;
/** Largest share of its remaining time that a forwarded request waits for a table. */
const MAX_TABLE_WAIT_SHARE = 0.25;
/** VMs whose table version is kept; above the size of a deployment. */
const MAX_PEER_TABLES = 2_000;
/** How long a VM that starts waits for its peers' versions before it is ready. */
const START_COMPARE_MS = 1_000;

/** Options of {@link TableExchange}. */
export interface TableExchangeOptions {
  membership: Pick<MembershipView, "member">;
  peers: PeerPort;
  /** The active table; null before the first. */
  table: () => RoutingTable | null;
  /** Probes a VM, and passes its answer to {@link TableExchange.compare}. */
  probe: (vm: VmId) => Promise<unknown>;
  setTable: (table: RoutingTable, options: { source: string }) => void;
  /** Whether tables can't be read from the store. */
  isStoreFailing: () => boolean;
}

/** What a VM has said about its routing table. */
interface PeerTable {
  readonly incarnation: Incarnation;
  /** The highest version that it has named; its active one is no lower. */
  readonly version: number;
  /** Whether it checks the version that a forwarded request carries. */
  readonly checksHops: boolean;
}

/** Compares the version of the routing table with those in the probes of other VMs. */
export class TableExchange {
  #options: TableExchangeOptions;
  #fetching: Promise<void> | null = null;
  #isStarting = true;
  /** Versions of VMs whose tables could not be used. */
  #refused = new Map<string, number>();
  #peerTables = new Map<VmId, PeerTable>();
  #probes = new Map<VmId, Promise<unknown>>();
  #servedVersion = 0;
  #awaitedFetch: Promise<void> | null = null;
  #waiting = new Set<() => void>();

  constructor(options: TableExchangeOptions) {
    this.#options = options;
  }

  /** Version of the active table; 0 before the first. */
  get version(): number {
    return this.#options.table()?.version ?? 0;
  }

  /**
   * Highest version under which this VM's requests may have run, here or at another VM;
   * requests that are forwarded from now on must not run under a lower one.
   */
  get servedVersion(): number {
    return Math.max(this.version, this.#servedVersion);
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
  compare(probe: Probe): void {
    const { from, configurationVersion } = probe;
    this.#notePeer(probe);
    const peer = this.#options.membership.member(from);
    if (!peer || this.#fetching || configurationVersion <= this.version) return;
    if (this.#refused.get(refusedKey(peer)) === configurationVersion) return;
    this.#fetching = this.#fetch(peer, configurationVersion)
      .finally(() => (this.#fetching = null));
  }

  /**
   * Whether a request may be forwarded to a VM. One of a build that doesn't check the
   * request's table version must be known to have that version. A VM of which too little
   * is known is probed, once per incarnation.
   */
  async mayServe(vm: Member, version: number): Promise<boolean> {
    if (this.#isKnownToServe(vm, version)) return true;
    await Promise.race([this.#probe(vm.id), wait(MAX_TABLE_WAIT_MS)]);
    return this.#isKnownToServe(vm, version);
  }

  /** Records that another VM ran a request of this VM under a table, and fetches a newer one. */
  noteServed(vm: VmId, version: number): void {
    this.#servedVersion = Math.max(this.#servedVersion, version);
    if (version > this.version) this.#fetchAwaited(vm, version);
  }

  /** Resumes the requests that waited for a table; called once it is active. */
  noteTable(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    for (const resume of waiting) resume();
  }

  /**
   * Waits until this VM has the table under which a forwarded request was accepted;
   * returns the refusal if it doesn't get it in time.
   */
  async awaitVersion(
    { from, version, leftMs }: { from: VmId; version: number; leftMs: number },
  ): Promise<Refusal | null> {
    const waitMs = Math.min(MAX_TABLE_WAIT_MS, MAX_TABLE_WAIT_SHARE * leftMs);
    const untilMs = performance.now() + waitMs;
    while (this.version < version) {
      const restMs = untilMs - performance.now();
      if (restMs <= 0) {
        return notRun("no-configuration", { retryAfterMs: MAX_TABLE_WAIT_MS });
      }
      this.#fetchAwaited(from, version);
      await this.#nextTable(Math.min(restMs, REFETCH_MS));
    }
    return null;
  }

  // Resolves with the next table, or after a time.
  #nextTable(limitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        clearTimeout(timer);
        this.#waiting.delete(end);
        resolve();
      };
      const timer = setTimeout(end, limitMs);
      this.#waiting.add(end);
    });
  }

  #isKnownToServe({ id, incarnation }: Member, version: number): boolean {
    const known = this.#peerTables.get(id);
    if (!known) return false;
    const isCurrent = incarnation === null || incarnation === known.incarnation;
    return isCurrent && (known.checksHops || known.version >= version);
  }

  // The answer is passed to `compare`.
  #probe(vm: VmId): Promise<unknown> {
    const existing = this.#probes.get(vm);
    if (existing) return existing;
    const probe = this.#options.probe(vm)
      .finally(() => this.#probes.delete(vm));
    this.#probes.set(vm, probe);
    return probe;
  }

  // An incarnation's table never goes back, so that the highest version it named holds.
  #notePeer({ from, incarnation, configurationVersion, checksHops }: Probe) {
    const known = this.#peerTables.get(from);
    const version = known?.incarnation === incarnation
      ? Math.max(known.version, configurationVersion)
      : configurationVersion;
    this.#peerTables.set(from, {
      incarnation,
      version,
      checksHops: checksHops === true,
    });
    if (this.#peerTables.size > MAX_PEER_TABLES) {
      const [oldest] = this.#peerTables.keys();
      this.#peerTables.delete(oldest!);
    }
  }

  // Runs beside a fetch that a probe began, whose VM may not answer.
  #fetchAwaited(vm: VmId, version: number): void {
    const peer = this.#options.membership.member(vm);
    if (!peer || this.#awaitedFetch) return;
    this.#awaitedFetch = this.#fetch(peer, version, AWAITED_HEAD_START_MS)
      .finally(() => (this.#awaitedFetch = null));
  }

  async #fetch(
    peer: Member,
    version: number,
    headStartMs = STORE_HEAD_START_MS,
  ): Promise<void> {
    const { peers, setTable, isStoreFailing } = this.#options;
    if (!isStoreFailing() && !this.#isStarting) await wait(headStartMs);
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
