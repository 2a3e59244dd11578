/** Puts news on probes and takes it off them. */
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
}

/** Keeps the table in step with what other VMs say. */
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

  /** Queues this VM's own entry, with its place. */
  announceSelf(): void {
    this.#enqueue(this.#table.self.id, { withPlace: true });
  }

  /** Announces that this VM is leaving. */
  announceLeaving(): void {
    const { statusVersion } = this.#table.own;
    this.#table.announce({
      statusVersion: statusVersion + 1,
      announced: "leaving",
    });
    this.#enqueue(this.#table.self.id);
  }

  /** Builds the probe for one VM, or the answer to its probe; what is told `about` a VM goes first. */
  composeProbe(
    to: VmId,
    options: { received?: Probe; about?: VmId } = {},
  ): Probe {
    const { received } = options;
    const { self, own } = this.#table;
    const known = this.#table.records.get(to);
    const first = this.#accusations([to, options.about]);
    const agrees = received?.viewHash === this.#table.hash();
    const news = agrees ? first : this.#queue.takeBatch({
      first,
      find: (id, how) => this.#newsOf(id, how),
    });
    if (received && !agrees) this.#fill(news);
    return {
      from: self.id,
      incarnation: self.incarnation,
      statusVersion: own.statusVersion,
      leaving: own.announced === "leaving",
      configurationVersion: this.#options.configurationVersion(),
      viewHash: this.#table.hash(),
      ...(received && !known ? { unknown: true } : {}),
      news,
    };
  }

  /** Takes what a probe or an answer says. */
  applyProbe(probe: Probe): void {
    for (const item of probe.news) this.#takeItem(item);
    this.#hear(probe.from, {
      statusVersion: probe.statusVersion,
      incarnation: probe.incarnation,
      announced: probe.leaving ? "leaving" : "live",
    });
    if (probe.unknown) this.announceSelf();
    if (probe.viewHash === this.#table.hash()) this.#queue.markAllPassedOn();
  }

  /** Takes what the platform lists of a VM. */
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

  /** Neither this VM nor others got an answer. */
  suspect(record: MemberRecord): void {
    this.#send(record, { type: "unanswered", atMs: performance.now() });
  }

  /** Lets a suspicion that has lasted become a death. */
  expireSuspicion(record: MemberRecord): void {
    this.#send(record, { type: "waited", atMs: performance.now() });
  }

  #takeItem(item: MemberUpdate): void {
    const { id, statusVersion, state } = item;
    if (id === this.#table.self.id) return this.#refute(item);
    if (state === "live" || state === "leaving") {
      return this.#hear(id, { ...item, announced: state });
    }
    const record = this.#table.records.get(id);
    if (!record) return;
    this.#send(record, {
      type: "accused",
      statusVersion,
      atMs: performance.now(),
    });
  }

  #hear(id: VmId, status: MemberStatus & { place?: MemberPlace }): void {
    const { place, ...rest } = status;
    if (id === this.#table.self.id) return;
    const record = this.#table.records.get(id);
    if (record) {
      const newer = rest.statusVersion > record.context.statusVersion;
      if (place && newer) record.place = place;
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

  #accusations(ids: readonly (VmId | undefined)[]): MemberUpdate[] {
    return ids.flatMap((id) => {
      const record = id && this.#table.records.get(id);
      const accuses = record?.state === "suspected" || record?.state === "dead";
      return accuses ? [record.toUpdate({ withPlace: false })] : [];
    });
  }

  #newsOf(
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

  // Views that differ are evened out by sending the table bit by bit in the room that is left.
  #fill(news: MemberUpdate[]): void {
    const ids = [this.#table.self.id, ...this.#table.records.keys()];
    let sizeBytes = news.reduce((sum, item) => sum + sizeOf(item), 0);
    for (let tried = 0; tried < ids.length; tried += 1) {
      const id = ids[this.#cursor % ids.length]!;
      const item = this.#newsOf(id, { withPlace: true });
      if (item) {
        sizeBytes += sizeOf(item);
        if (sizeBytes > MAX_GOSSIP_BYTES) return;
        news.push(item);
      }
      this.#cursor = (this.#cursor + 1) % ids.length;
    }
  }
}
