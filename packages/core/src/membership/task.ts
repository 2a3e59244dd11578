/** Keeps the view of VMs: seeded by the platform's list, kept fresh by probes. */
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

/** A read of the list costs about this much for each VM on it. */
const LISTED_VM_BYTES = 200;
const LIST_BYTES_PER_SECOND = 200;
const LIST_MIN_INTERVAL_MS = 2_000;
/** A reading counts as evidence for this share of the interval between readings. */
const LIST_FRESH_SHARE = 0.1;
/** How long a dead and unlisted VM is remembered, so that late news doesn't bring it back. */
const FORGET_MS = 30_000;
/** How often a VM looks whether it is listed yet; the list lags by seconds. */
const LISTED_CHECK_MS = 250;
const FIRST_PROBES = 3;
/** VMs that a leaving VM tells itself; the others hear it from them. */
const LEAVING_PROBES = 16;
/** VMs that are told of a suspicion at once; the others hear it from them. */
const SUSPICION_PROBES = 64;
/** VMs that are told first; where none answers, this VM may be the one that was cut off. */
const SUSPICION_FIRST_PROBES = 4;

/** Options of {@link MembershipTask}. */
export interface MembershipTaskOptions {
  configurationVersion: () => number;
  /** Told of each probe and answer, with the versions that it carries. */
  onProbe?: (probe: Probe) => void;
  /** Peer addresses to ask while no other VM is known, for instance with the platform down. */
  contacts?: () => readonly string[];
  /** How often the platform's list is read at most; its cost grows with the number of VMs. */
  listIntervalMs?: number;
  policies?: Partial<MembershipPolicies>;
}

/** Owns the view of VMs. */
export class MembershipTask
  implements MembershipView, ViewChanges, IncarnationCheck, VmTask {
  readonly self: VmIdentity;
  #context: MembershipContext;
  #options: MembershipTaskOptions;
  #table: MemberTable;
  #exchange: GossipExchange;
  #prober: Prober;
  #gone: IncarnationEndCheck;
  /** VMs whose probe has not ended yet. */
  #probed = new Set<VmId>();
  #timers: ReturnType<typeof setTimeout>[] = [];
  #listReadAtMs = -Infinity;
  #listCount = 0;
  #isListed = false;

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
    });
    this.#prober = new Prober(context, {
      table: this.#table,
      exchange: this.#exchange,
      onAnswer: (answer) => this.#take(answer),
    });
    this.#gone = new IncarnationEndCheck({
      table: this.#table,
      prober: this.#prober,
      refreshList: () => this.#refreshList(),
    });
  }

  /** Reads who the others are, without making this VM known to them. */
  async seed(): Promise<void> {
    await this.#readList();
  }

  /** Makes this VM known and begins to probe. */
  async start(): Promise<void> {
    if (!this.#knowsOthers()) void this.#contact();
    await this.#tell(this.#prober.sample(FIRST_PROBES));
    // VMs that start together shouldn't probe in step.
    const firstMs = this.#context.random() * PROBE_INTERVAL_MS;
    this.#timers = [
      setTimeout(() => {
        this.#timers.push(setInterval(() => this.#tick(), PROBE_INTERVAL_MS));
      }, firstMs),
    ];
  }

  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
  }

  /** Announces that this VM is about to stop: to some VMs at once, to all by their news. */
  async leave(): Promise<void> {
    if (this.#table.own.announced === "leaving") return;
    this.#exchange.announceLeaving();
    await this.#tell(this.#prober.sample(LEAVING_PROBES));
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
    return this.#gone.confirm(owner);
  }

  /**
   * Waits for a list that names this VM: an older one may lack VMs that started
   * with it. False where there was none in time.
   */
  async awaitListed(limitMs: number): Promise<boolean> {
    const untilMs = performance.now() + limitMs;
    while (!this.#isListed && performance.now() < untilMs) {
      await this.#readList();
      if (!this.#isListed) await wait(LISTED_CHECK_MS);
    }
    return this.#isListed;
  }

  /** Answers a peer's probe. */
  answerProbe(probe: Probe): Probe {
    this.#take(probe);
    return this.#exchange.composeProbe(probe.from, { received: probe });
  }

  /** Probes a VM on behalf of another. */
  async probeIndirect(target: VmId): Promise<boolean> {
    const record = this.#table.records.get(target);
    if (!record) return false;
    return await this.#prober.probeDirectly(record, { fresh: true }) !== null;
  }

  #take(probe: Probe): void {
    this.#exchange.applyProbe(probe);
    this.#options.onProbe?.(probe);
  }

  #tick(): void {
    if (!this.#knowsOthers()) void this.#contact();
    for (const record of this.#prober.nextTargets()) void this.#probe(record);
    this.#expire();
    const dueMs = this.#listReadAtMs + this.#listIntervalMs();
    if (performance.now() >= dueMs) void this.#readList();
  }

  // The list grows with the deployment; reading it less often keeps its cost constant.
  #listIntervalMs(): number {
    const listBytes = this.#listCount * LISTED_VM_BYTES;
    const intervalMs = listBytes / LIST_BYTES_PER_SECOND * 1_000;
    const { listIntervalMs = LIST_MIN_INTERVAL_MS } = this.#options;
    return Math.max(listIntervalMs, intervalMs);
  }

  #knowsOthers(): boolean {
    return [...this.#table.records.values()].some(
      ({ state, reachable, context }) =>
        reachable && state === "live" && context.incarnation !== null,
    );
  }

  // Their answers carry who they are and where, and whom they know.
  async #contact(): Promise<void> {
    const others = (this.#options.contacts?.() ?? []).filter(
      (address) => address !== this.self.peerAddress,
    );
    await Promise.all(
      others.map((address) => this.#prober.probeAddress(address)),
    );
  }

  async #probe(record: MemberRecord): Promise<void> {
    this.#probed.add(record.id);
    const outcome = await this.#prober.probe(record, {
      onNoAnswer: () => this.#probeAfter(record),
    });
    this.#probed.delete(record.id);
    if (outcome === "unclear") return;
    this.#markReachable(record, outcome === "answered");
    if (outcome !== "silent" || record.state === "suspected") return;
    this.#exchange.suspect(record);
    await this.#tellSuspicion(record.id);
  }

  // News travels in steps of a probe interval; callers are sent there meanwhile.
  async #tellSuspicion(about: VmId): Promise<void> {
    const others = this.#prober.sample(SUSPICION_PROBES);
    const first = others.splice(0, SUSPICION_FIRST_PROBES);
    if (await this.#tell(first, about)) await this.#tell(others, about);
  }

  // Where one VM was lost, the one that it would have probed may be lost as well.
  #probeAfter(record: MemberRecord): void {
    const next = this.#prober.successor(record.id);
    if (next && !this.#probed.has(next.id)) void this.#probe(next);
  }

  #markReachable(record: MemberRecord, reachable: boolean): void {
    if (record.reachable === reachable) return;
    record.reachable = reachable;
    this.#table.invalidate({ visible: true });
  }

  #expire(): void {
    const nowMs = performance.now();
    for (const record of [...this.#table.records.values()]) {
      if (record.state === "suspected") this.#exchange.expireSuspicion(record);
      const forgotten = record.state === "dead" &&
        record.context.listing === "absent" &&
        nowMs - record.deadAtMs >= FORGET_MS;
      if (!forgotten) continue;
      this.#table.records.delete(record.id);
      this.#table.invalidate({ visible: false });
    }
  }

  /** Probes VMs, with what is known `about` another first; true when one answered. */
  async #tell(
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
    this.#listCount = listed.value.length;
    this.#isListed ||= listed.value.some(({ id }) => id === this.self.id);
    const seen = new Set<VmId>();
    for (const vm of listed.value) {
      seen.add(vm.id);
      if (vm.id === this.self.id) continue;
      const { dataCentre, region, callerAddress, peerAddress } = vm;
      const place = { dataCentre, region, callerAddress, peerAddress };
      this.#exchange.applyListing(vm.id, { listing: vm.state, place });
    }
    for (const id of [...this.#table.records.keys()]) {
      if (!seen.has(id)) {
        this.#exchange.applyListing(id, { listing: "absent" });
      }
    }
    return true;
  }
}
