/** A VM's local view of the endpoints: their directory entries and its own observations. */
import type { EndpointId, ServiceName } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import { EndpointRecord } from "./endpoint_record.ts";
import { LostVersions, type StagedVersion } from "./lost_versions.ts";
import {
  type ChangeBounds,
  DEFAULT_BOUNDS,
  keepAfterReturnMs,
  keepMissingUntilMs,
  type ReadTimes,
} from "./store_reads.ts";
import {
  type EndpointChange,
  type EndpointEntry,
  type EndpointIncarnation,
  incarnationOf,
  type Stage,
} from "./types.ts";

/**
 * Time after the directory has come back from an earlier copy in which it may list
 * endpoints that are gone: an entry expires after a few missed heartbeats.
 */
const EXPIRY_MS = 4_000;
/** Maximum number of draining incarnations remembered, and of those that are gone; an outdated entry doesn't make these ready again. */
const MAX_REMEMBERED = 10_000;

/** Holds the record of every known endpoint. */
export class EndpointRegistry {
  #observer: Observer;
  #onIncarnationEnd: (entry: EndpointEntry) => void;
  #records = new Map<EndpointId, EndpointRecord>();
  /** Incarnations that have been draining, oldest first. */
  #drained = new Set<EndpointIncarnation>();
  /** Incarnations that are gone, oldest first. */
  #gone = new Set<EndpointIncarnation>();
  /** Incarnations that another one of the same id has followed, oldest first. */
  #followed = new Set<EndpointIncarnation>();
  /** Entries of a copy for incarnations that were gone before the directory came back from it. */
  #doubtful: EndpointEntry[] = [];
  #returnedAtMs = -Infinity;
  #bounds: ChangeBounds;
  #lostVersions = new LostVersions();
  #isUsable: (entry: EndpointEntry) => boolean;
  /** Entries that are listed, but whose address belongs to another endpoint. */
  #withheld = new Map<EndpointId, EndpointEntry>();
  /** Until when entries are used that are found to be missing. */
  #keepUntilMs = -Infinity;

  /**
   * `onIncarnationEnd` is called when an endpoint goes missing, restarts, or loses
   * its address to a newer endpoint. `isUsable` returns whether an entry fits a service
   * of the configuration; by default, all do.
   */
  constructor(
    observer: Observer,
    onIncarnationEnd: (entry: EndpointEntry) => void = () => {},
    { bounds = DEFAULT_BOUNDS, isUsable = () => true }: {
      bounds?: ChangeBounds;
      isUsable?: (entry: EndpointEntry) => boolean;
    } = {},
  ) {
    this.#observer = observer;
    this.#bounds = bounds;
    this.#isUsable = isUsable;
    this.#onIncarnationEnd = onIncarnationEnd;
  }

  /** Applies a full listing of the directory; endpoints not in it become missing. */
  replace(entries: readonly EndpointEntry[]): void {
    const seen = new Set(entries.map((entry) => entry.id));
    this.#doubtful = [];
    this.#withheld.clear();
    for (const entry of entries) {
      if (this.#isDoubtful(entry)) this.#doubtful.push(entry);
      else this.#upsert(entry);
    }
    for (const id of [...this.#records.keys()]) {
      if (!seen.has(id)) this.#remove(id);
    }
    this.#retryWithheld();
  }

  /** Applies one change of the directory. */
  apply(change: EndpointChange): void {
    this.#doubtful = this.#doubtful.filter(({ id }) => id !== change.id);
    this.#withheld.delete(change.id);
    if (change.entry) this.#upsert(change.entry);
    else this.#remove(change.id);
    this.#retryWithheld();
  }

  /** Records that the services of the configuration, which decide on addresses, have changed. */
  noteServices(): void {
    for (const record of [...this.#records.values()]) {
      const { entry } = record;
      if (this.#records.get(entry.id) !== record || record.missing) continue;
      if (!this.#findHolder(entry)) this.#displaceOthers(entry);
    }
    this.#retryWithheld();
  }

  /** Records that an endpoint said itself that it is about to stop. */
  noteLeaving(entry: EndpointEntry): void {
    if (this.#drained.has(incarnationOf(entry))) return;
    this.#recordDraining(entry);
    const record = this.#records.get(entry.id);
    if (record?.entry.bornAtMs !== entry.bornAtMs) return;
    record.setDraining();
    this.#observer.log({ event: "endpoint-leaving", endpoint: entry.id });
  }

  /**
   * Records that an endpoint answered with another start time than its entry states. If
   * that is a later one, the incarnation of the entry has ended, and the endpoint is used
   * again when the directory has its new entry.
   */
  noteRestarted(
    entry: EndpointEntry,
    { bornAtMs }: { bornAtMs: number },
  ): void {
    const incarnation = incarnationOf(entry);
    if (bornAtMs < entry.bornAtMs || this.#followed.has(incarnation)) return;
    remember(this.#followed, incarnation);
    const record = this.#records.get(entry.id);
    if (record?.entry.bornAtMs !== entry.bornAtMs) return;
    const nowMs = performance.now();
    record.setMissing(nowMs);
    this.#lostVersions.note(record.entry, nowMs);
    this.#onIncarnationEnd(record.entry);
    this.#observer.log({
      event: "endpoint-restarted",
      endpoint: entry.id,
      bornAtMs,
      knownBornAtMs: entry.bornAtMs,
    });
  }

  /** Records that the directory can be read again, after the reads that failed. */
  noteDirectoryRegained(reads: ReadTimes): void {
    const regainedAtMs = performance.now();
    this.#keepUntilMs = keepMissingUntilMs(this.#bounds, {
      regainedAtMs,
      reads,
    });
  }

  /**
   * Records that the directory has come back from an earlier copy: entries that it lacks
   * may be written again, and those that it holds may be of endpoints that are gone.
   */
  noteDirectoryReturn(): void {
    this.#returnedAtMs = performance.now();
    this.#keepUntilMs = keepAfterReturnMs(this.#returnedAtMs);
  }

  /** Returns the record of an endpoint, or undefined if there is none. */
  get(id: EndpointId): EndpointRecord | undefined {
    return this.#records.get(id);
  }

  /** Returns the entry of one start of an endpoint, or undefined if it isn't known. */
  entryOf(incarnation: EndpointIncarnation): EndpointEntry | undefined {
    for (const { entry } of this.#records.values()) {
      if (incarnationOf(entry) === incarnation) return entry;
    }
    return undefined;
  }

  /**
   * Returns the endpoints of a service and stage that accept new work, ejected
   * ones included. `stage` is null for services without engines.
   */
  usable(service: ServiceName, stage: Stage | null): EndpointRecord[] {
    const nowMs = performance.now();
    this.#acceptDoubtful(nowMs);
    const usable: EndpointRecord[] = [];
    for (const record of this.#records.values()) {
      if (record.entry.service !== service) continue;
      if (record.entry.stage !== stage) continue;
      if (record.mayTakeWork(nowMs)) usable.push(record);
    }
    return usable;
  }

  /** Whether a version lost an endpoint to a crash a moment ago, which may be back soon. */
  mayReturn(version: StagedVersion): boolean {
    return this.#lostVersions.mayReturn(version);
  }

  /** Whether an endpoint of a service is about to change its stage. */
  isReconfiguring(service: ServiceName): boolean {
    const nowMs = performance.now();
    for (const record of this.#records.values()) {
      if (record.entry.service !== service) continue;
      if (record.isReconfiguring(nowMs) && !record.isRemoved(nowMs)) {
        return true;
      }
    }
    return false;
  }

  /** Returns the number of endpoints of a service that aren't gone, whatever their state. */
  count(service: ServiceName): number {
    const nowMs = performance.now();
    let count = 0;
    for (const record of this.#records.values()) {
      if (record.entry.service !== service) continue;
      if (!record.isRemoved(nowMs)) count += 1;
    }
    return count;
  }

  /** Returns the entries of all endpoints that aren't gone, draining ones included. */
  entries(): EndpointEntry[] {
    const nowMs = performance.now();
    return [...this.#records.values()]
      .filter((record) => !record.isRemoved(nowMs))
      .map(({ entry }) => entry);
  }

  /** Iterates over all records, including draining and missing endpoints. */
  all(): Iterable<EndpointRecord> {
    return this.#records.values();
  }

  #isDoubtful(entry: EndpointEntry): boolean {
    return performance.now() < this.#returnedAtMs + EXPIRY_MS &&
      this.#gone.has(incarnationOf(entry));
  }

  // An endpoint that is still listed when its entry would have expired is running.
  #acceptDoubtful(nowMs: number): void {
    if (this.#doubtful.length === 0) return;
    if (nowMs < this.#returnedAtMs + EXPIRY_MS) return;
    for (const entry of this.#doubtful.splice(0)) this.#upsert(entry);
  }

  #upsert(entry: EndpointEntry): void {
    const existing = this.#records.get(entry.id);
    if (existing && this.#isOutdated(entry, existing.entry)) return;
    if (this.#followed.has(incarnationOf(entry))) return;
    const wasDraining = this.#drained.has(incarnationOf(entry));
    const draining = wasDraining || entry.state === "draining";
    if (draining) this.#recordDraining(entry);
    const effective: EndpointEntry = draining
      ? { ...entry, state: "draining" }
      : entry;
    const holder = this.#findHolder(effective);
    if (holder) return this.#withhold(entry, holder.entry);
    this.#displaceOthers(effective);
    this.#gone.delete(incarnationOf(entry));
    if (existing?.entry.bornAtMs === entry.bornAtMs) {
      this.#logChange(existing.entry, effective);
      existing.update(effective);
      return;
    }
    if (existing) this.#end(existing);
    this.#records.set(entry.id, new EndpointRecord(effective));
    this.#observer.log({
      event: "endpoint-known",
      endpoint: entry.id,
      service: entry.service,
      address: entry.address,
      state: effective.state,
      stage: entry.stage ?? undefined,
      version: entry.softwareVersion,
      bornAtMs: entry.bornAtMs,
    });
  }

  // An entry of another writer may have a later start time than the endpoint's own.
  #isOutdated(entry: EndpointEntry, known: EndpointEntry): boolean {
    if (known.bornAtMs <= entry.bornAtMs) return false;
    return this.#isUsable(known) || !this.#isUsable(entry);
  }

  #mayClaim(entry: EndpointEntry): boolean {
    return entry.state === "ready" && this.#isUsable(entry);
  }

  // An address belongs to one endpoint at a time: of those that may claim it, the one
  // that started last. Returns it if that isn't the endpoint of the entry.
  #findHolder(entry: EndpointEntry): EndpointRecord | undefined {
    const nowMs = performance.now();
    const mayClaim = this.#mayClaim(entry);
    for (const record of this.#records.values()) {
      const { entry: other } = record;
      if (other.address !== entry.address || other.id === entry.id) continue;
      if (record.isRemoved(nowMs) || !this.#mayClaim(other)) continue;
      if (!mayClaim || other.bornAtMs > entry.bornAtMs) return record;
    }
    return undefined;
  }

  #displaceOthers(entry: EndpointEntry): void {
    if (!this.#mayClaim(entry)) return;
    for (const [id, record] of [...this.#records]) {
      const { entry: other } = record;
      if (id === entry.id || other.address !== entry.address) continue;
      this.#observer.log({
        event: "endpoint-replaced",
        endpoint: id,
        by: entry.id,
        address: entry.address,
      });
      this.#records.delete(id);
      if (!record.missing) this.#withheld.set(id, other);
      this.#end(record);
    }
  }

  // A send that holds a place there and has not begun yet must not begin any more.
  #end(record: EndpointRecord): void {
    const nowMs = performance.now();
    if (!record.isRemoved(nowMs)) record.setMissing(nowMs);
    this.#onIncarnationEnd(record.entry);
  }

  #withhold(entry: EndpointEntry, holder: EndpointEntry): void {
    const before = this.#withheld.get(entry.id);
    this.#withheld.set(entry.id, entry);
    if (before) return;
    this.#observer.log({
      event: "endpoint-withheld",
      endpoint: entry.id,
      service: entry.service,
      address: entry.address,
      holder: holder.id,
      isUsable: this.#isUsable(entry),
    });
  }

  // The endpoint that has the address may be gone by now.
  #retryWithheld(): void {
    for (const entry of [...this.#withheld.values()]) {
      if (this.#findHolder(entry)) continue;
      this.#withheld.delete(entry.id);
      this.#upsert(entry);
    }
  }

  #remove(id: EndpointId): void {
    const record = this.#records.get(id);
    if (!record || record.missing) return;
    const nowMs = performance.now();
    const removedAtMs = Math.max(nowMs, this.#keepUntilMs);
    record.setMissing(removedAtMs);
    this.#lostVersions.note(record.entry, removedAtMs);
    if (removedAtMs === nowMs) {
      remember(this.#gone, incarnationOf(record.entry));
    }
    this.#onIncarnationEnd(record.entry);
    this.#observer.log({
      event: "endpoint-gone",
      endpoint: id,
      keptForMs: Math.round(removedAtMs - nowMs),
    });
    this.#deleteRemoved();
  }

  #deleteRemoved(): void {
    const nowMs = performance.now();
    for (const [id, record] of this.#records) {
      if (record.isRemoved(nowMs) && record.inFlight === 0) {
        this.#records.delete(id);
      }
    }
  }

  #recordDraining(entry: EndpointEntry): void {
    remember(this.#drained, incarnationOf(entry));
  }

  #logChange(before: EndpointEntry, after: EndpointEntry): void {
    const same = before.state === after.state && before.stage === after.stage &&
      before.address === after.address;
    if (same) return;
    this.#observer.log({
      event: "endpoint-changed",
      endpoint: after.id,
      state: after.state,
      stage: after.stage ?? undefined,
      address: after.address,
    });
  }
}

// Adds an incarnation, and drops the oldest one beyond the maximum.
function remember(
  incarnations: Set<EndpointIncarnation>,
  incarnation: EndpointIncarnation,
): void {
  incarnations.add(incarnation);
  if (incarnations.size <= MAX_REMEMBERED) return;
  const [oldest] = incarnations;
  incarnations.delete(oldest!);
}
