/**
 * Keeps evidence on prompt parts that crash endpoints in the store, so that it outlasts
 * the loss of all VMs at once.
 *
 * One VM, the home of the evidence, writes the records with a part that is blamed or
 * close to it, once for each change of such a record. Each VM reads them when it starts.
 * A part that is close to being blamed after a loss of all VMs would otherwise crash as
 * many endpoints again.
 */
import type { Result } from "neverthrow";
import { hash48 } from "../../common/hash.ts";
import type { Observer } from "../../common/observe.ts";
import type { StoreFailure } from "../../ports/platform.ts";
import type { EndpointIncarnation } from "../types.ts";
import type { CrashEvidence } from "./evidence.ts";
import { isSuspect } from "./queries/find_culprits.ts";
import { selectLasting } from "./queries/select_lasting.ts";
import type { CrashRecord, CrashReport, TraitId } from "./types.ts";

/** Delay that batches the changes of one crash, as several VMs tell of it. */
const WRITE_DELAY_MS = 100;
const FAILED_DELAY_MS = 1_000;
const STORE_TIMEOUT_MS = 500;
/** Rows of one write, and traits of one row, so that a write stays below 64 KiB. */
const MAX_ROWS = 4;
const MAX_STORED_TRAITS = 100;

/** A crash as it is stored: only the suspects that have not been cleared. */
export interface CrashRow {
  readonly endpoint: EndpointIncarnation;
  /** When the endpoint crashed, on the store's steady clock. */
  readonly crashedAtMs: number;
  readonly traits: CrashReport["traits"];
  readonly trusted: readonly TraitId[];
}

/** The stored crashes. */
export interface CrashTable {
  /** Reads all rows, with the store's steady clock; those that can't be decoded are left out. */
  readAll(
    options: { timeoutMs: number },
  ): Promise<
    Result<
      { readonly storeTimeMs: number; readonly rows: readonly CrashRow[] },
      StoreFailure
    >
  >;
  /** Replaces rows, and deletes others. */
  write(
    rows: readonly CrashRow[],
    options: { deleted: readonly EndpointIncarnation[]; timeoutMs: number },
  ): Promise<Result<unknown, StoreFailure>>;
}

/** Options of {@link LastingEvidence}. */
export interface LastingEvidenceOptions {
  table: CrashTable;
  evidence: () => CrashEvidence;
  /** Adds what was read to the evidence. */
  addReports: (reports: readonly CrashReport[]) => void;
  /** Whether this VM is the one that writes. */
  isHome: () => boolean;
  observer: Observer;
}

/** Writes and reads the stored evidence of one VM. */
export class LastingEvidence {
  #options: LastingEvidenceOptions;
  /** Digests of the rows that the store holds, as far as this VM knows. */
  #stored = new Map<EndpointIncarnation, number>();
  /** The store's clock minus this VM's monotonic one; null until the rows were read. */
  #offsetMs: number | null = null;
  #timer: ReturnType<typeof setTimeout> | undefined;
  #isRunning = false;
  #stopped = false;

  constructor(options: LastingEvidenceOptions) {
    this.#options = options;
  }

  /** Reads what earlier VMs stored; tries again until the store answers. */
  start(): void {
    this.#runLater(0);
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Records that the evidence, or the VM that writes it, may have changed. */
  noteChange(): void {
    if (this.#options.isHome()) this.#runLater(WRITE_DELAY_MS);
  }

  /** Records that the store has come back from an earlier copy, which may lack rows. */
  noteReturn(delayMs: number): void {
    this.#offsetMs = null;
    this.#stored.clear();
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#runLater(delayMs);
  }

  #runLater(delayMs: number): void {
    if (this.#stopped) return;
    this.#timer ??= setTimeout(() => void this.#run(), delayMs);
  }

  async #run(): Promise<void> {
    this.#timer = undefined;
    // A write that overtakes another one could be undone by it.
    if (this.#isRunning) return this.#runLater(WRITE_DELAY_MS);
    this.#isRunning = true;
    const hasRead = this.#offsetMs !== null || await this.#read();
    const outcome = hasRead ? await this.#write() : "failed";
    this.#isRunning = false;
    if (outcome === "failed") this.#runLater(FAILED_DELAY_MS);
    if (outcome === "partial") this.#runLater(WRITE_DELAY_MS);
  }

  async #read(): Promise<boolean> {
    const { table, addReports, observer } = this.#options;
    const read = await table.readAll({ timeoutMs: STORE_TIMEOUT_MS });
    if (read.isErr()) {
      observer.count("store_failures", read.error.kind);
      return false;
    }
    const { storeTimeMs, rows } = read.value;
    this.#offsetMs = storeTimeMs - performance.now();
    for (const row of rows) this.#stored.set(row.endpoint, digestOf(row));
    if (rows.length === 0) return true;
    observer.log({ event: "crash-evidence-read", crashes: rows.length });
    addReports(rows.map(({ endpoint, crashedAtMs, traits, trusted }) => ({
      endpoint,
      ageMs: Math.max(0, storeTimeMs - crashedAtMs),
      traits,
      cleared: [],
      trusted,
      refuted: false,
    })));
    return true;
  }

  async #write(): Promise<"done" | "partial" | "failed"> {
    const { table, evidence, isHome, observer } = this.#options;
    const offsetMs = this.#offsetMs;
    if (offsetMs === null) return "failed";
    if (!isHome()) return "done";
    const lasting = selectLasting(evidence().records)
      .map((record) => toRow(record, offsetMs));
    const kept = new Set(lasting.map(({ endpoint }) => endpoint));
    const deleted = [...this.#stored.keys()].filter((id) => !kept.has(id));
    const changed = lasting.filter((row) =>
      this.#stored.get(row.endpoint) !== digestOf(row)
    );
    if (changed.length + deleted.length === 0) return "done";
    const rows = changed.slice(0, MAX_ROWS);
    const written = await table.write(rows, {
      deleted,
      timeoutMs: STORE_TIMEOUT_MS,
    });
    if (written.isErr()) {
      observer.count("store_failures", written.error.kind);
      return "failed";
    }
    // The store came back from a copy meanwhile, and may lack the rows.
    if (this.#offsetMs !== offsetMs) return "failed";
    for (const row of rows) this.#stored.set(row.endpoint, digestOf(row));
    for (const id of deleted) this.#stored.delete(id);
    observer.log({
      event: "crash-evidence-written",
      crashes: rows.length,
      deleted: deleted.length,
    });
    return rows.length < changed.length ? "partial" : "done";
  }
}

// Parts come before whole requests, of which a row may leave some out.
function toRow(record: CrashRecord, offsetMs: number): CrashRow {
  const traits = [...record.traits]
    .filter(([id]) => isSuspect(record, id))
    .sort(([a, first], [b, second]) => first - second || (a < b ? -1 : 1))
    .slice(0, MAX_STORED_TRAITS)
    .map(([id, position]) => {
      const parts = record.partsOf.get(id);
      return parts ? [id, position, parts] as const : [id, position] as const;
    });
  return {
    endpoint: record.endpoint,
    crashedAtMs: Math.round(record.atMs + offsetMs),
    traits,
    trusted: traits.flatMap(([id]) => record.trusted.has(id) ? [id] : [])
      .sort(),
  };
}

function digestOf({ traits, trusted }: CrashRow): number {
  const ids = traits.map(([id]) => id).sort();
  return hash48(`${ids.join()}\n${[...trusted].sort().join()}`);
}
