/** Builds probes and answers with updates about VMs, and applies those received. */
import type { VmId } from "../common/ids.ts";
import type { MembershipContext } from "./types.ts";
import type { Probe } from "./app.ts";
import type { Listing, MemberStatus } from "./machine.ts";
import { GossipQueue, MAX_GOSSIP_BYTES, sizeOf } from "./gossip_queue.ts";
import { MemberRecord } from "./record.ts";
import type { MemberPlace, MemberUpdate } from "./types.ts";
import type { MemberTable } from "./view.ts";

/** Options of {@link GossipExchange}. */
export interface GossipExchangeOptions {
  table: MemberTable;
  configurationVersion: () => number;
  /** Hash of the evidence on crashes that this VM has. */
  evidenceHash?: () => number;
  /** Whether this VM refuses requests because it has too many. */
  isBusy?: () => boolean;
  /** Whether this VM checks the table version of forwarded requests. */
  checksHops?: boolean;
}

/** Keeps the table up to date by exchanging updates with other VMs. */
export class GossipExchange {
  #context: MembershipContext;
  #table: MemberTable;
  #options: GossipExchangeOptions;
  #queue = new GossipQueue();
  #cursor = 0;

  constructor(context: MembershipContext, options: GossipExchangeOptions) {
    this.#context = context;
    this.#table = options.table;
    this.#options = options;
    this.announceSelf();
  }

  /** Queues an update about this VM, with its place. */
  announceSelf(): void {
    this.#enqueue(this.#table.self.id, { withPlace: true });
  }

  /** Sets this VM's status to `leaving` and queues the update. */
  announceLeaving(): void {
    const { statusVersion } = this.#table.own;
    this.#table.announce({
      statusVersion: statusVersion + 1,
      announced: "leaving",
    });
    this.#enqueue(this.#table.self.id);
  }

  /**
   * Builds a probe for a VM, or the answer to the probe `received` from it. If the
   * receiver or the VM `about` is suspected or dead here, that goes first.
   */
  composeProbe(
    to: VmId,
    options: { received?: Probe; about?: VmId } = {},
  ): Probe {
    const { received } = options;
    const { self, own } = this.#table;
    const known = this.#table.records.get(to);
    const first = this.#suspicionsOf([to, options.about]);
    const viewsAgree = received?.viewHash === this.#table.hash();
    const news = viewsAgree ? first : this.#queue.takeBatch({
      first,
      find: (id, queued) => this.#updateOf(id, queued),
    });
    if (received && !viewsAgree) this.#fillFromTable(news);
    return {
      from: self.id,
      incarnation: self.incarnation,
      statusVersion: own.statusVersion,
      leaving: own.announced === "leaving",
      configurationVersion: this.#options.configurationVersion(),
      evidenceHash: this.#options.evidenceHash?.(),
      ...(this.#options.isBusy?.() ? { busy: true } : {}),
      ...(this.#options.checksHops ? { checksHops: true } : {}),
      viewHash: this.#table.hash(),
      ...(received && !known ? { unknown: true } : {}),
      news,
    };
  }

  /** Applies a received probe or answer to the table. */
  applyProbe(probe: Probe): void {
    for (const item of probe.news) this.#applyUpdate(item);
    this.#applyStatus(probe.from, {
      statusVersion: probe.statusVersion,
      incarnation: probe.incarnation,
      announced: probe.leaving ? "leaving" : "live",
    });
    if (probe.unknown) this.announceSelf();
    if (probe.viewHash === this.#table.hash()) this.#queue.markAllPassedOn();
  }

  /**
   * Applies a VM's state in the platform's list; `place` is needed to add an
   * unknown VM.
   */
  applyListing(
    id: VmId,
    options: { listing: Listing; place?: MemberPlace },
  ): void {
    const { listing, place } = options;
    const record = this.#table.records.get(id);
    if (record) {
      const before = record.state;
      if (place) record.place = place;
      if (record.context.listing === listing) return;
      record.send({ type: "listed", listing });
      this.#table.invalidate({ visible: record.state !== before });
      return;
    }
    if (!place) return;
    this.#table.records.set(id, new MemberRecord({ id, place, listing }));
    this.#table.invalidate({ visible: true });
  }

  /** Marks a VM as suspected; called if no direct or indirect probe was answered. */
  suspect(record: MemberRecord): void {
    this.#send(record, { type: "probeFailed", atMs: performance.now() });
  }

  /** Marks a suspected VM as dead once the suspicion has lasted long enough. */
  expireSuspicion(record: MemberRecord): void {
    this.#send(record, { type: "timePassed", atMs: performance.now() });
  }

  #applyUpdate(item: MemberUpdate): void {
    const { id, statusVersion, state } = item;
    if (id === this.#table.self.id) return this.#refute(item);
    if (state === "live" || state === "leaving") {
      return this.#applyStatus(id, { ...item, announced: state });
    }
    const record = this.#table.records.get(id);
    if (!record) return;
    this.#send(record, {
      type: "suspicionReceived",
      statusVersion,
      atMs: performance.now(),
    });
  }

  #applyStatus(id: VmId, status: MemberStatus & { place?: MemberPlace }): void {
    const { place, ...rest } = status;
    if (id === this.#table.self.id) return;
    const record = this.#table.records.get(id);
    if (record) {
      const isNewer = rest.statusVersion > record.context.statusVersion;
      if (place && isNewer) record.place = place;
      this.#send(record, { type: "heard", ...rest });
      return;
    }
    if (!place) return;
    const { statusVersion, incarnation, announced } = rest;
    this.#table.records.set(
      id,
      new MemberRecord({
        id,
        place,
        listing: "absent",
        status: { statusVersion, incarnation, announced },
      }),
    );
    this.#table.invalidate({ visible: true });
    this.#enqueue(id, { withPlace: true });
  }

  #refute(item: MemberUpdate): void {
    const { own, self } = this.#table;
    const isStale = item.statusVersion < own.statusVersion;
    const isOwn = item.incarnation === self.incarnation &&
      item.state === own.announced;
    if (isStale || isOwn) return;
    this.#table.announce({ ...own, statusVersion: item.statusVersion + 1 });
    this.#enqueue(self.id);
    this.#context.observer.count("vm_states", "refuted");
  }

  #send(
    record: MemberRecord,
    event: Parameters<MemberRecord["send"]>[0],
  ): void {
    const before = record.state;
    if (!record.send(event)) return;
    const { state } = record;
    if (state === "dead") record.deadAtMs = performance.now();
    this.#table.invalidate({ visible: state !== before });
    this.#enqueue(record.id);
    if (state === before) return;
    this.#context.observer.count("vm_states", state);
    this.#context.observer.log({ event: "vm-state", peer: record.id, state });
  }

  #enqueue(id: VmId, options: { withPlace?: boolean } = {}): void {
    const vmCount = this.#table.records.size + 1;
    this.#queue.add(id, { vmCount, ...options });
  }

  #suspicionsOf(ids: readonly (VmId | undefined)[]): MemberUpdate[] {
    return ids.flatMap((id) => {
      const record = id && this.#table.records.get(id);
      const isSuspect = record?.state === "suspected" ||
        record?.state === "dead";
      return isSuspect ? [record.toUpdate({ withPlace: false })] : [];
    });
  }

  #updateOf(
    id: VmId,
    options: { withPlace: boolean },
  ): MemberUpdate | undefined {
    const { self, own } = this.#table;
    if (id !== self.id) return this.#table.records.get(id)?.toUpdate(options);
    const { dataCentre, region, callerAddress, peerAddress } = self;
    const place = { dataCentre, region, callerAddress, peerAddress };
    return {
      id,
      incarnation: self.incarnation,
      statusVersion: own.statusVersion,
      state: own.announced,
      ...(options.withPlace ? { place } : {}),
    };
  }

  // Differing views converge because each answer also carries the next entries of the
  // table, as many as still fit.
  #fillFromTable(news: MemberUpdate[]): void {
    const ids = [this.#table.self.id, ...this.#table.records.keys()];
    let sizeBytes = news.reduce((sum, item) => sum + sizeOf(item), 0);
    for (let tried = 0; tried < ids.length; tried += 1) {
      const id = ids[this.#cursor % ids.length]!;
      const item = this.#updateOf(id, { withPlace: true });
      if (item) {
        sizeBytes += sizeOf(item);
        if (sizeBytes > MAX_GOSSIP_BYTES) return;
        news.push(item);
      }
      this.#cursor = (this.#cursor + 1) % ids.length;
    }
  }
}
