/**
 * Maintains the view of VMs: filled from the platform's list, kept up to date by
 * probes and the updates that they carry. The view maps each key to its home, the VM
 * that rendezvous hashing picks for it.
 */
import type { RunOwner } from "../ports/engines.ts";
import type { VmId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import type { VmTask } from "../vm/types.ts";
import type { Probe } from "./app.ts";
import { IncarnationEndCheck } from "./incarnation_end_check.ts";
import { GossipExchange } from "./gossip_exchange.ts";
import { PROBE_INTERVAL_MS, Prober } from "./prober.ts";
import type { MemberRecord } from "./record.ts";
import type {
  IncarnationCheck,
  Member,
  MembershipContext,
  MembershipView,
  ViewChanges,
  ViewListener,
  VmIdentity,
} from "./types.ts";
import {
  DEFAULT_MEMBERSHIP_POLICIES,
  type MembershipPolicies,
  MemberTable,
} from "./view.ts";

/** Approximate size of one VM's entry in the platform's list. */
const LISTED_VM_BYTES = 200;
/** Maximum average rate of reading the list. */
const LIST_BYTES_PER_SECOND = 200;
const LIST_MIN_INTERVAL_MS = 2_000;
/**
 * A list older than this share of the interval between reads is read again before
 * it serves as evidence that an incarnation has ended.
 */
const LIST_FRESH_SHARE = 0.1;
/**
 * How long a dead and unlisted VM is kept, so that late updates don't add it as
 * live again.
 */
const DEAD_RETENTION_MS = 30_000;
/** Time between checks whether this VM is listed yet; the list lags by seconds. */
const LISTED_POLL_MS = 250;
/** VMs that are probed at the start. */
const START_PROBES = 3;
/** VMs that a leaving VM notifies directly; the others get the update from them. */
const LEAVING_PROBES = 16;
/**
 * VMs that are notified of a suspicion at once; the others get the update from
 * them.
 */
const SUSPICION_PROBES = 64;
/**
 * VMs that are notified of a suspicion first; if none answers, this VM may itself
 * be cut off, and the others are not notified.
 */
const SUSPICION_FIRST_PROBES = 4;

/**
 * VMs that start together are not all listed when the first of them read the list, so
 * that it is read again after this time. Without it, their views differ for as long as
 * a long list takes to be due again, and with them the homes that they choose.
 */
const SECOND_READ_MS = 3_000;

/** Options of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  configurationVersion: () => number;
  /** Hash of the evidence on crashes, sent with probes. */
  evidenceHash?: () => number;
  /** Whether this VM refuses requests because it has too many, sent with probes. */
  isBusy?: () => boolean;
  /** Whether this VM checks the table version of forwarded requests, sent with probes. */
  checksHops?: boolean;
  /** Called for each received probe and answer, with the versions that it carries. */
  onProbe?: (probe: Probe) => void;
  /**
   * Peer addresses to probe while no other live VM is known, for instance if the
   * platform is down.
   */
  contacts?: () => readonly string[];
  /** Minimum time between reads of the platform's list; longer if the list is long. */
  listIntervalMs?: number;
  policies?: Partial<MembershipPolicies>;
}

/** Owns the view of VMs: probes them, and answers their probes. */
export class MembershipTask
  implements MembershipView, ViewChanges, IncarnationCheck, VmTask {
  readonly self: VmIdentity;
  #context: MembershipContext;
  #options: MembershipTaskOptions;
  #table: MemberTable;
  #exchange: GossipExchange;
  #prober: Prober;
  #endCheck: IncarnationEndCheck;
  /** VMs that are being probed. */
  #probesInFlight = new Set<VmId>();
  #timers: ReturnType<typeof setTimeout>[] = [];
  #listReadAtMs = -Infinity;
  #listCount = 0;
  #listReads = 0;
  #isListed = false;
  #contacted = Promise.resolve();

  constructor(context: MembershipContext, options: MembershipTaskOptions) {
    this.self = context.identity;
    this.#context = context;
    this.#options = options;
    this.#table = new MemberTable(this.self, {
      ...DEFAULT_MEMBERSHIP_POLICIES,
      ...options.policies,
    });
    this.#exchange = new GossipExchange(context, {
      table: this.#table,
      configurationVersion: options.configurationVersion,
      evidenceHash: options.evidenceHash,
      ...(options.isBusy ? { isBusy: options.isBusy } : {}),
      ...(options.checksHops ? { checksHops: true } : {}),
    });
    this.#prober = new Prober(context, {
      table: this.#table,
      exchange: this.#exchange,
      onAnswer: (answer) => this.#applyProbe(answer),
    });
    this.#endCheck = new IncarnationEndCheck({
      table: this.#table,
      prober: this.#prober,
      refreshList: () => this.#refreshList(),
    });
  }

  /**
   * Fills the view from the platform's list; doesn't announce this VM to the other
   * VMs.
   */
  async seed(): Promise<void> {
    await this.#readList();
  }

  /** Announces this VM to others and starts to probe. */
  async start(): Promise<void> {
    if (!this.#knowsLivePeer()) this.#contacted = this.#probeContacts();
    await this.#probeAll(this.#prober.sample(START_PROBES));
    // A random delay, so that VMs that start together don't all probe at the same
    // moment.
    const firstMs = this.#context.random() * PROBE_INTERVAL_MS;
    this.#timers = [
      setTimeout(() => {
        this.#timers.push(setInterval(() => this.#tick(), PROBE_INTERVAL_MS));
      }, firstMs),
    ];
  }

  /** Resolves when the contacts that were probed at the start have answered or failed. */
  get contacted(): Promise<void> {
    return this.#contacted;
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  /**
   * Announces that this VM is about to stop: directly to some VMs, which pass it on
   * to the others.
   */
  async leave(): Promise<void> {
    if (this.#table.own.announced === "leaving") return;
    this.#exchange.announceLeaving();
    await this.#probeAll(this.#prober.sample(LEAVING_PROBES));
  }

  members(): readonly Member[] {
    return this.#table.members();
  }

  member(id: VmId): Member | undefined {
    return this.#table.member(id);
  }

  homeOf(key: string): Member {
    return this.#table.homeOf(key);
  }

  onChange(listener: ViewListener): () => void {
    return this.#table.onChange(listener);
  }

  confirmEnded(owner: RunOwner): Promise<boolean> {
    return this.#endCheck.confirm(owner);
  }

  /**
   * Waits for a platform list that includes this VM, as an older one may lack VMs
   * that started at the same time. Returns false if there was none within `limitMs`.
   */
  async awaitListed(limitMs: number): Promise<boolean> {
    const untilMs = performance.now() + limitMs;
    while (!this.#isListed && performance.now() < untilMs) {
      await this.#readList();
      if (!this.#isListed) await wait(LISTED_POLL_MS);
    }
    return this.#isListed;
  }

  /** Applies a peer's probe and returns the answer. */
  answerProbe(probe: Probe): Probe {
    this.#applyProbe(probe);
    return this.#exchange.composeProbe(probe.from, { received: probe });
  }

  /** Probes a VM on behalf of another one; returns true if it answered. */
  async probeIndirect(target: VmId): Promise<boolean> {
    const record = this.#table.records.get(target);
    if (!record) return false;
    return await this.#prober.probeDirectly(record, { fresh: true }) !== null;
  }

  #applyProbe(probe: Probe): void {
    this.#exchange.applyProbe(probe);
    this.#options.onProbe?.(probe);
  }

  #tick(): void {
    if (!this.#knowsLivePeer()) void this.#probeContacts();
    for (const record of this.#prober.nextTargets()) void this.#probe(record);
    this.#expireRecords();
    const intervalMs = this.#listReads < 2
      ? Math.min(SECOND_READ_MS, this.#listIntervalMs())
      : this.#listIntervalMs();
    const dueMs = this.#listReadAtMs + intervalMs;
    if (performance.now() >= dueMs) void this.#readList();
  }

  // The list grows with the deployment; reading a long list less often keeps the
  // cost constant.
  #listIntervalMs(): number {
    const listBytes = this.#listCount * LISTED_VM_BYTES;
    const intervalMs = listBytes / LIST_BYTES_PER_SECOND * 1_000;
    const { listIntervalMs = LIST_MIN_INTERVAL_MS } = this.#options;
    return Math.max(listIntervalMs, intervalMs);
  }

  #knowsLivePeer(): boolean {
    return [...this.#table.records.values()].some(
      ({ state, reachable, context }) =>
        reachable && state === "live" && context.incarnation !== null,
    );
  }

  // The answers carry the ids and places of the contacts, and updates about other VMs.
  async #probeContacts(): Promise<void> {
    const others = (this.#options.contacts?.() ?? []).filter(
      (address) => address !== this.self.peerAddress,
    );
    await Promise.all(
      others.map((address) => this.#prober.probeAddress(address)),
    );
  }

  async #probe(record: MemberRecord): Promise<void> {
    this.#probesInFlight.add(record.id);
    const outcome = await this.#prober.probe(record, {
      onNoAnswer: () => this.#probeSuccessor(record),
    });
    this.#probesInFlight.delete(record.id);
    if (outcome === "unclear") return;
    this.#markReachable(record, outcome === "answered");
    if (outcome !== "silent" || record.state === "suspected") return;
    this.#exchange.suspect(record);
    await this.#spreadSuspicion(record.id);
  }

  // Updates take one probe interval per hop; meanwhile callers are still sent to
  // the lost VM.
  async #spreadSuspicion(about: VmId): Promise<void> {
    const others = this.#prober.sample(SUSPICION_PROBES);
    const first = others.splice(0, SUSPICION_FIRST_PROBES);
    if (await this.#probeAll(first, about)) await this.#probeAll(others, about);
  }

  // If a VM was lost, the one that it should have probed may be lost as well.
  #probeSuccessor(record: MemberRecord): void {
    const next = this.#prober.successor(record.id);
    if (next && !this.#probesInFlight.has(next.id)) void this.#probe(next);
  }

  #markReachable(record: MemberRecord, reachable: boolean): void {
    if (record.reachable === reachable) return;
    record.reachable = reachable;
    this.#table.invalidate({ visible: true });
  }

  #expireRecords(): void {
    const nowMs = performance.now();
    for (const record of [...this.#table.records.values()]) {
      if (record.state === "suspected") this.#exchange.expireSuspicion(record);
      const isExpired = record.state === "dead" &&
        record.context.listing === "absent" &&
        nowMs - record.deadAtMs >= DEAD_RETENTION_MS;
      if (!isExpired) continue;
      this.#table.records.delete(record.id);
      this.#table.invalidate({ visible: false });
    }
  }

  /**
   * Probes VMs, with a suspicion of the VM `about` first; returns true if any of
   * them answered.
   */
  async #probeAll(
    records: readonly MemberRecord[],
    about?: VmId,
  ): Promise<boolean> {
    const answers = await Promise.all(
      records.map((record) => this.#prober.probeDirectly(record, { about })),
    );
    return answers.some(Boolean);
  }

  async #refreshList(): Promise<boolean> {
    const ageMs = performance.now() - this.#listReadAtMs;
    const freshMs = this.#listIntervalMs() * LIST_FRESH_SHARE;
    return ageMs < freshMs || await this.#readList();
  }

  async #readList(): Promise<boolean> {
    const startedMs = performance.now();
    const listed = await this.#context.ports.platform.listVms();
    if (listed.isErr()) return false;
    this.#listReadAtMs = startedMs;
    this.#listReads += 1;
    this.#listCount = listed.value.length;
    this.#isListed ||= listed.value.some(({ id }) => id === this.self.id);
    const listedIds = new Set<VmId>();
    for (const vm of listed.value) {
      listedIds.add(vm.id);
      if (vm.id === this.self.id) continue;
      const { dataCentre, region, callerAddress, peerAddress } = vm;
      const place = { dataCentre, region, callerAddress, peerAddress };
      this.#exchange.applyListing(vm.id, { listing: vm.state, place });
    }
    for (const id of [...this.#table.records.keys()]) {
      if (!listedIds.has(id)) {
        this.#exchange.applyListing(id, { listing: "absent" });
      }
    }
    return true;
  }
}
