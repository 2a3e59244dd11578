/**
 * Tells whether the routing table may lack a change that has to be in use by now, and if
 * so reads the store at once and asks other VMs.
 *
 * Handles VMs that are cut off from the store, have just started or stood still, while
 * keys are added and revoked. All requests that wait share one read, and its failure
 * holds for a while, so that the cost doesn't grow with the rate of requests.
 */
import type { Observer } from "../../common/observe.ts";
import { shuffle } from "../../common/shuffle.ts";
import { wait } from "../../common/wait.ts";
import { findOthers } from "../../membership/queries/find_others.ts";
import type { Member, MembershipView } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { RoutingTable } from "../types.ts";

/** VMs that are asked at a time; with half of them cut off from the store, 15 in 16 reads succeed. */
const ASKED_PEERS = 4;
/** Calls have deadlines of a second or more, of which this leaves most. */
const ASK_LIMIT_MS = 400;
/** A table with thousands of routes takes seconds over the slowest links. */
const FETCH_LIMIT_MS = 5_000;
/** How long no VM is asked again after none could tell. */
const FAILURE_HOLDS_MS = 500;
const POLL_INTERVAL_MS = 5;
/** Time for a store without a known fault to answer before other VMs are asked. */
const STORE_HEAD_START_MS = 60;

/** The part of the VM's feed of tables that is needed here. */
export interface TableSource {
  /** No later than the moment as of which the store was last read successfully. */
  readonly asOfMs: number;
  /** Whether the last call failed. */
  readonly isFailing: boolean;
  /** Reads the changes so far at once. */
  hurry(): void;
}

/** Options of {@link TableAge}. */
export interface TableAgeOptions {
  /** Time after which a change must be in use. */
  boundMs: number;
  /** Age that the table reaches without a fault while there are no changes. */
  usualMs: number;
  source: () => TableSource;
  membership: Pick<MembershipView, "self" | "members">;
  peers: PeerPort;
  version: () => number;
  setTable: (table: RoutingTable, options: { source: string }) => void;
  observer: Observer;
  random: () => number;
}

/** Knows as of when the active table was the newest one. */
export class TableAge {
  #options: TableAgeOptions;
  /** As of when other VMs have confirmed the table. */
  #confirmedAsOfMs = -Infinity;
  #reading: Promise<void> | null = null;
  #failedAtMs = -Infinity;
  #isReported = false;

  constructor(options: TableAgeOptions) {
    this.#options = options;
  }

  /** Time since the table is known to have been the newest one; infinite if it never was. */
  ageMs(): number {
    const { asOfMs } = this.#options.source();
    return performance.now() - Math.max(asOfMs, this.#confirmedAsOfMs);
  }

  /** Whether the table may lack a change that has to be in use. */
  get isOutdated(): boolean {
    return this.ageMs() > this.#options.boundMs;
  }

  /**
   * Whether the table may lack such a change although no fault is known, as after a
   * stall of the process. A read then takes no longer than the store needs to answer.
   */
  get isUnexpected(): boolean {
    const { boundMs, usualMs, source } = this.#options;
    return !source().isFailing &&
      this.ageMs() > Math.max(boundMs, usualMs);
  }

  /** Reads the store and asks other VMs until the table is not outdated, or the time is over. */
  async update(limitMs: number): Promise<void> {
    if (!this.isOutdated) return;
    const isHeld = performance.now() - this.#failedAtMs < FAILURE_HOLDS_MS;
    if (!this.#reading && isHeld) return;
    this.#reading ??= this.#read().finally(() => (this.#reading = null));
    await Promise.race([this.#reading, wait(limitMs)]);
  }

  async #read(): Promise<void> {
    const { source, membership, random } = this.#options;
    const startedAtMs = performance.now();
    const tookMs = () => performance.now() - startedAtMs;
    source().hurry();
    while (
      this.isOutdated && !source().isFailing && tookMs() < STORE_HEAD_START_MS
    ) {
      await wait(POLL_INTERVAL_MS);
    }
    let asked = 0;
    const peers = this.isOutdated
      ? shuffle(findOthers(membership), random).slice(0, ASKED_PEERS)
      : [];
    for (const peer of peers) {
      asked += 1;
      void this.#ask(peer).finally(() => (asked -= 1));
    }
    while (this.isOutdated && tookMs() < ASK_LIMIT_MS) {
      if (asked === 0 && source().isFailing) break;
      await wait(POLL_INTERVAL_MS);
    }
    this.#report();
  }

  async #ask(peer: Member): Promise<void> {
    const { peers, version, setTable } = this.#options;
    const askedAtMs = performance.now();
    const answer = await peers.call(peer, "routing/table", {
      params: { after: version() },
      timeoutMs: ASK_LIMIT_MS,
      wholeMs: FETCH_LIMIT_MS,
    });
    if (answer.isErr()) return;
    const { table, ageMs, readsWorkspaces } = answer.value;
    // A VM of the previous build knows neither its table's age nor its workspaces.
    if (!readsWorkspaces) return;
    if (table) setTable(table, { source: peer.id });
    if (typeof ageMs !== "number") return;
    const asOfMs = askedAtMs - ageMs;
    this.#confirmedAsOfMs = Math.max(this.#confirmedAsOfMs, asOfMs);
  }

  #report(): void {
    const { observer } = this.#options;
    const isOutdated = this.isOutdated;
    this.#failedAtMs = isOutdated ? performance.now() : -Infinity;
    if (isOutdated === this.#isReported) return;
    this.#isReported = isOutdated;
    const ageMs = this.ageMs();
    observer.log({
      event: isOutdated ? "keys-unverifiable" : "keys-verifiable",
      level: isOutdated ? "warn" : "info",
      ageMs: Number.isFinite(ageMs) ? Math.round(ageMs) : undefined,
    });
  }
}
