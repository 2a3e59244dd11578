/** What a VM believes of the endpoints: their entries, and what it has seen of them itself. */
import type { EndpointId, ServiceName } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import { EndpointRecord } from "./endpoint_record.ts";
import type { EndpointChange, EndpointEntry, Stage } from "./types.ts";

/**
 * How long after the directory's return a missing entry is kept: entries that
 * lapsed meanwhile are written again within about two seconds.
 */
const RETURN_GRACE_MS = 2_200;
/** Departures that are remembered, so that a late entry doesn't undo one. */
const MAX_DEPARTURES = 10_000;

/** Owns the records of all endpoints. */
export class EndpointRegistry {
  #observer: Observer;
  #onEnd: (id: EndpointId) => void;
  #records = new Map<EndpointId, EndpointRecord>();
  #departed = new Set<string>();
  #reachable = true;
  #reachableSinceMs = -Infinity;

  /** `onEnd` is told of endpoints that are gone or have started anew. */
  constructor(observer: Observer, onEnd: (id: EndpointId) => void = () => {}) {
    this.#observer = observer;
    this.#onEnd = onEnd;
  }

  /** Takes a whole reading of the directory. */
  replace(entries: readonly EndpointEntry[]): void {
    const seen = new Set(entries.map((entry) => entry.id));
    for (const entry of entries) this.#put(entry);
    for (const id of [...this.#records.keys()]) {
      if (!seen.has(id)) this.#remove(id);
    }
  }

  /** Takes one change of the directory. */
  apply(change: EndpointChange): void {
    if (change.entry) this.#put(change.entry);
    else this.#remove(change.id);
  }

  /** Notes whether the directory can be read. */
  setDirectoryReachable(reachable: boolean): void {
    if (reachable && !this.#reachable) {
      this.#reachableSinceMs = performance.now();
    }
    this.#reachable = reachable;
  }

  /** One endpoint, if it is known. */
  get(id: EndpointId): EndpointRecord | undefined {
    return this.#records.get(id);
  }

  /** Endpoints of a service that may be given new work. */
  usable(service: ServiceName, stage: Stage | null): EndpointRecord[] {
    const nowMs = performance.now();
    const found: EndpointRecord[] = [];
    for (const record of this.#records.values()) {
      if (record.entry.service !== service) continue;
      if (record.entry.stage !== stage) continue;
      if (record.mayTakeWork(nowMs)) found.push(record);
    }
    return found;
  }

  /** All records, those that leave included. */
  all(): Iterable<EndpointRecord> {
    return this.#records.values();
  }

  #put(entry: EndpointEntry): void {
    const known = this.#records.get(entry.id);
    if (known && known.entry.bornAtMs > entry.bornAtMs) return;
    if (!this.#takeAddress(entry)) return;
    const departed = this.#departed.has(incarnationKey(entry));
    const draining = departed || entry.state === "draining";
    if (draining) this.#depart(entry);
    const taken: EndpointEntry = draining
      ? { ...entry, state: "draining" }
      : entry;
    if (known?.entry.bornAtMs === entry.bornAtMs) {
      this.#logChange(known.entry, taken);
      known.update(taken);
      return;
    }
    if (known) this.#onEnd(entry.id);
    this.#records.set(entry.id, new EndpointRecord(taken));
    this.#observer.log({
      event: "endpoint-known",
      endpoint: entry.id,
      service: entry.service,
      address: entry.address,
      state: taken.state,
      stage: entry.stage ?? undefined,
      bornAtMs: entry.bornAtMs,
    });
  }

  // An address is used by one endpoint at a time: the one that started last.
  #takeAddress(entry: EndpointEntry): boolean {
    for (const [id, { entry: other }] of this.#records) {
      if (id === entry.id || other.address !== entry.address) continue;
      if (other.bornAtMs > entry.bornAtMs) return false;
      this.#observer.log({
        event: "endpoint-replaced",
        endpoint: id,
        by: entry.id,
        address: entry.address,
      });
      this.#records.delete(id);
      this.#onEnd(id);
    }
    return true;
  }

  #remove(id: EndpointId): void {
    const record = this.#records.get(id);
    if (!record || record.missing) return;
    const graceEndsMs = this.#reachableSinceMs + RETURN_GRACE_MS;
    const goneAtMs = Math.max(performance.now(), graceEndsMs);
    record.setMissing(goneAtMs);
    this.#onEnd(id);
    this.#observer.log({
      event: "endpoint-gone",
      endpoint: id,
      keptForMs: Math.round(goneAtMs - performance.now()),
    });
    this.#forgetGone();
  }

  #forgetGone(): void {
    const nowMs = performance.now();
    for (const [id, record] of this.#records) {
      if (record.isRemoved(nowMs) && record.inFlight === 0) {
        this.#records.delete(id);
      }
    }
  }

  #depart(entry: EndpointEntry): void {
    this.#departed.add(incarnationKey(entry));
    if (this.#departed.size <= MAX_DEPARTURES) return;
    const [oldest] = this.#departed;
    this.#departed.delete(oldest!);
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

function incarnationKey(entry: EndpointEntry): string {
  return `${entry.id} ${entry.bornAtMs}`;
}
