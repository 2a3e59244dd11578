/** Keeps the records of crashes, and merges the reports of other VMs into them. */
import { hash48 } from "../../common/hash.ts";
import type { EndpointIncarnation } from "../types.ts";
import {
  type Culprit,
  findCulprits,
  isSuspect,
} from "./queries/find_culprits.ts";
import type { CrashRecord, CrashReport, Trait, TraitId } from "./types.ts";

/** How long a crash counts; longer than the longest time between two trials of a culprit. */
const RETENTION_MS = 30 * 60_000;
/** Maximum records kept; the oldest is dropped first. */
const MAX_RECORDS = 300;
/** Maximum traits of one record. */
const MAX_TRAITS = 400;
/** How long requests that were answered make their traits trusted. */
const TRUST_MS = 60_000;
/** Maximum traits whose last answer is remembered; the oldest is dropped first. */
const MAX_ANSWERED = 20_000;
/** Digests are added modulo this, which keeps the sum an exact integer. */
const HASH_RANGE = 2 ** 48;

/** The records that have changed, and the culprits that follow from all of them. */
export interface EvidenceChange {
  readonly endpoints: ReadonlySet<EndpointIncarnation>;
  readonly culprits: ReadonlyMap<TraitId, Culprit>;
}

/** Called after each change of the evidence. */
export type EvidenceListener = (change: EvidenceChange) => void;

interface StoredRecord extends CrashRecord {
  readonly digest: number;
}

/** The crashes that this VM knows of. */
export class CrashEvidence {
  #records = new Map<EndpointIncarnation, StoredRecord>();
  #answeredAtMs = new Map<TraitId, number>();
  #begunAtMs = new Map<TraitId, number>();
  #culprits: ReadonlyMap<TraitId, Culprit> = new Map();
  #hash = 0;
  #nextExpiryMs = Infinity;
  #onChange: EvidenceListener;

  constructor(onChange: EvidenceListener) {
    this.#onChange = onChange;
  }

  /** Traits that crash endpoints. */
  get culprits(): ReadonlyMap<TraitId, Culprit> {
    if (performance.now() >= this.#nextExpiryMs) this.#update(new Set());
    return this.#culprits;
  }

  /** Equal on VMs that have the same evidence. */
  get hash(): number {
    return this.#hash;
  }

  /** All records, also those that no longer count. */
  get records(): Iterable<CrashRecord> {
    return this.#records.values();
  }

  get isEmpty(): boolean {
    return this.#records.size === 0;
  }

  get(endpoint: EndpointIncarnation): CrashRecord | undefined {
    return this.#records.get(endpoint);
  }

  /** Whether a trait was present at a crash and has not been cleared since. */
  isSuspected(id: TraitId): boolean {
    return this.countSuspicions(id) > 0;
  }

  /** Number of crashes at which a trait was present, without those where it was cleared. */
  countSuspicions(id: TraitId): number {
    return [...this.#records.values()]
      .filter((record) => !record.refuted && isSuspect(record, id)).length;
  }

  /** Whether a request with a trait was answered here not long ago, or began to be. */
  wasAnswered(id: TraitId): boolean {
    return this.#lastAnswerAtMs(id) > performance.now() - TRUST_MS;
  }

  /** Counts the crashes with a trait, and those that no longer count against it. */
  countCrashes(
    id: TraitId,
  ): { crashes: number; cleared: number; refuted: number } {
    const records = [...this.#records.values()]
      .filter(({ traits }) => traits.has(id));
    return {
      crashes: records.length,
      cleared: records.filter(({ cleared }) => cleared.has(id)).length,
      refuted: records.filter(({ refuted }) => refuted).length,
    };
  }

  /** Returns the suspects of a report that this VM didn't connect with the crash. */
  newSuspects({ endpoint, traits, cleared }: CrashReport): TraitId[] {
    const known = this.#records.get(endpoint)?.traits;
    return traits.map(([id]) => id)
      .filter((id) => !known?.has(id) && !cleared.includes(id));
  }

  /** Adds a crash that this VM detected, or further requests that were lost in it. */
  addCrash(
    endpoint: EndpointIncarnation,
    { traits, atMs }: { traits: readonly Trait[]; atMs: number },
  ): void {
    this.#merge([{
      endpoint,
      atMs,
      traits: new Map(traits.map(({ id, position }) => [id, position])),
      partsOf: new Map(
        traits.filter(({ parts }) => parts.length > 0)
          .map(({ id, parts }) => [id, parts]),
      ),
      cleared: new Set(),
      trusted: new Set(),
      refuted: false,
    }]);
  }

  /** Records that a request with these traits was answered. */
  noteAnswered(traits: readonly Trait[]): void {
    noteTimes(this.#answeredAtMs, traits);
    this.#mergeSuspects(traits);
  }

  /** Records that an answer to a request with these traits has begun and goes on. */
  noteBegun(traits: readonly Trait[]): void {
    noteTimes(this.#begunAtMs, traits);
    this.#mergeSuspects(traits);
  }

  /** Records that an endpoint answered, although it had been taken for crashed. */
  refute(endpoint: EndpointIncarnation): void {
    const record = this.#records.get(endpoint);
    if (record) this.#merge([{ ...record, refuted: true }]);
  }

  /** Adds the reports of another VM. */
  addReports(reports: readonly CrashReport[]): void {
    const nowMs = performance.now();
    this.#merge(
      reports
        .filter(({ ageMs }) => ageMs < RETENTION_MS)
        .map((report) => ({
          endpoint: report.endpoint,
          atMs: nowMs - report.ageMs,
          traits: new Map(
            report.traits.map(([id, position]) => [id, position]),
          ),
          partsOf: new Map(
            report.traits.flatMap(([id, , parts]) =>
              parts ? [[id, parts]] : []
            ),
          ),
          cleared: new Set(report.cleared),
          trusted: new Set(report.trusted),
          refuted: report.refuted,
        })),
    );
  }

  /** Returns reports of the given records, or of all. */
  reports(endpoints?: ReadonlySet<EndpointIncarnation>): CrashReport[] {
    return [...this.#records.values()]
      .filter(({ endpoint }) => endpoints?.has(endpoint) ?? true)
      .map((record) => ({
        endpoint: record.endpoint,
        ageMs: Math.round(performance.now() - record.atMs),
        traits: [...record.traits].map(([id, position]) => {
          const parts = record.partsOf.get(id);
          return parts
            ? [id, position, parts] as const
            : [id, position] as const;
        }),
        cleared: [...record.cleared],
        trusted: [...record.trusted],
        refuted: record.refuted,
      }));
  }

  /** Digests of all records, by endpoint. */
  digests(): Record<EndpointIncarnation, number> {
    return Object.fromEntries(
      [...this.#records].map(([endpoint, { digest }]) => [endpoint, digest]),
    );
  }

  /** Returns reports of the records that another VM doesn't have in the same state. */
  reportsFor(digests: Readonly<Record<string, number>>): CrashReport[] {
    const differing = [...this.#records.values()]
      .filter(({ endpoint, digest }) => digests[endpoint] !== digest)
      .map(({ endpoint }) => endpoint);
    return differing.length > 0 ? this.reports(new Set(differing)) : [];
  }

  #mergeSuspects(traits: readonly Trait[]): void {
    this.#merge(
      [...this.#records.values()].filter((record) =>
        traits.some(({ id }) => isSuspect(record, id))
      ),
    );
  }

  #merge(added: readonly CrashRecord[]): void {
    const changed = new Set<EndpointIncarnation>();
    for (const record of added) {
      const before = this.#records.get(record.endpoint);
      const merged = this.#withAnswers(mergeRecords(before, record));
      const stored = { ...merged, digest: digestOf(merged) };
      if (stored.digest === before?.digest) continue;
      this.#records.set(record.endpoint, stored);
      changed.add(record.endpoint);
    }
    if (changed.size > 0) this.#update(changed);
  }

  #update(endpoints: ReadonlySet<EndpointIncarnation>): void {
    this.#deleteOld();
    this.#hash = [...this.#records.values()]
      .reduce((sum, { digest }) => (sum + digest) % HASH_RANGE, 0);
    this.#culprits = findCulprits(this.#records.values());
    this.#onChange({ endpoints, culprits: this.#culprits });
  }

  // Applies what this VM knows of answers before and after the crash. One that has
  // only begun clears nothing, as it may still crash its endpoint.
  #withAnswers(record: CrashRecord): CrashRecord {
    const cleared = new Set(record.cleared);
    const trusted = new Set(record.trusted);
    for (const id of record.traits.keys()) {
      const answeredAtMs = this.#answeredAtMs.get(id) ?? -Infinity;
      if (answeredAtMs > record.atMs) cleared.add(id);
      else if (this.#lastAnswerAtMs(id) > record.atMs - TRUST_MS) {
        trusted.add(id);
      }
    }
    return { ...record, cleared, trusted };
  }

  #lastAnswerAtMs(id: TraitId): number {
    return Math.max(
      this.#answeredAtMs.get(id) ?? -Infinity,
      this.#begunAtMs.get(id) ?? -Infinity,
    );
  }

  #deleteOld(): void {
    const expiredMs = performance.now() - RETENTION_MS;
    const byAge = [...this.#records.values()].sort((a, b) => a.atMs - b.atMs);
    for (const [index, { endpoint, atMs }] of byAge.entries()) {
      if (atMs >= expiredMs && byAge.length - index <= MAX_RECORDS) {
        this.#nextExpiryMs = atMs + RETENTION_MS;
        return;
      }
      this.#records.delete(endpoint);
    }
    this.#nextExpiryMs = Infinity;
  }
}

function noteTimes(
  times: Map<TraitId, number>,
  traits: readonly Trait[],
): void {
  const nowMs = performance.now();
  for (const { id } of traits) {
    times.delete(id);
    times.set(id, nowMs);
  }
  while (times.size > MAX_ANSWERED) {
    const [oldest] = times.keys();
    times.delete(oldest!);
  }
}

function mergeRecords(
  before: CrashRecord | undefined,
  added: CrashRecord,
): CrashRecord {
  if (!before) return added;
  const traits = new Map([...before.traits, ...added.traits]);
  return {
    endpoint: added.endpoint,
    atMs: Math.min(before.atMs, added.atMs),
    traits: new Map([...traits].slice(0, MAX_TRAITS)),
    partsOf: new Map([...before.partsOf, ...added.partsOf]),
    cleared: new Set([...before.cleared, ...added.cleared]),
    trusted: new Set([...before.trusted, ...added.trusted]),
    refuted: before.refuted || added.refuted,
  };
}

function digestOf(record: CrashRecord): number {
  return hash48([
    record.endpoint,
    [...record.traits.keys()].sort().join(),
    [...record.cleared].sort().join(),
    [...record.trusted].sort().join(),
    record.refuted,
  ].join("\n"));
}
