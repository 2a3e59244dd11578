/**
 * Records in the store where streams began, so that they are resumed at the right
 * software version after all VMs that knew it have ended.
 *
 * Each VM has one row, with its newest streams and the versions that it has seen.
 * It is rewritten a moment after streams have begun, which delays none of them: a
 * stream whose VM ends before that is resumed only where one version is possible.
 */
import type { Result } from "neverthrow";
import type { VmId } from "../common/ids.ts";
import type { Observer } from "../common/observe.ts";
import type { StoreFailure } from "../ports/platform.ts";
import type { StoreEra } from "../store/version.ts";
import {
  ORIGIN_RETENTION_MS,
  OriginMemory,
  type StreamOrigin,
} from "./stream_origins.ts";
import type { AttemptId, EndpointEntry } from "./types.ts";
import { SharedRead } from "./shared_read.ts";
import { VersionHistory } from "./version_history.ts";

/** Delay that batches the streams of one write. */
const WRITE_DELAY_MS = 200;
/**
 * The delay while only one version of each service can have begun a stream: streams that
 * nobody recorded go on there. Once another version is seen, all streams are written at
 * once.
 */
const SETTLED_WRITE_DELAY_MS = 5_000;
/** Least delay for each VM, which limits the writes of many VMs together to 400 a second. */
const WRITE_DELAY_PER_VM_MS = 2.5;
const FAILED_WRITE_DELAY_MS = 1_000;
/** Streams in a row; the oldest are dropped first, so that a row stays below 16 KiB. */
const MAX_STREAMS = 500;
const STORE_TIMEOUT_MS = 500;
/** How long rows that were read answer further questions. */
const READ_INTERVAL_MS = 500;

/** A version that a VM has seen, and how long ago it did so last. */
export interface SeenVersion extends StreamOrigin {
  readonly agoMs: number;
}

/** A VM's row. */
export interface OriginRow {
  readonly vm: VmId;
  /** The store's era in which it was written. */
  readonly era: StoreEra;
  /** When it was written, on the store's steady clock. */
  readonly storeTimeMs: number;
  /** Whether the VM knew all versions that had served while streams could begin. */
  readonly knowsPast: boolean;
  readonly versions: readonly SeenVersion[];
  /** Streams that it has relayed, oldest first. */
  readonly streams: ReadonlyMap<AttemptId, StreamOrigin>;
}

/** All rows, as of one moment on the store's steady clock. */
export interface OriginRows {
  readonly storeTimeMs: number;
  readonly era: StoreEra;
  readonly rows: readonly OriginRow[];
}

/** The rows of all VMs in the store. */
export interface OriginTable {
  /** Reads all rows; those that can't be decoded are left out. */
  readAll(
    options: { timeoutMs: number },
  ): Promise<Result<OriginRows, StoreFailure>>;
  /** Replaces the row of one VM, and deletes those of others. */
  write(
    row: OriginRow,
    options: { deleted: readonly VmId[]; timeoutMs: number },
  ): Promise<Result<unknown, StoreFailure>>;
}

/** Options of {@link OriginRecord}. */
export interface OriginRecordOptions {
  vm: VmId;
  table: OriginTable;
  /** The endpoints that serve now, draining ones included. */
  endpoints: () => Iterable<EndpointEntry>;
  /** Reads the endpoints that serve now from the store. */
  readEndpoints: (
    options: { timeoutMs: number },
  ) => Promise<Result<readonly EndpointEntry[], StoreFailure>>;
  /** Number of VMs that share the store's rate. */
  vmCount: () => number;
  observer: Observer;
}

/** This VM's row, and what it has read of the others'. */
export class OriginRecord {
  #options: OriginRecordOptions;
  #history: VersionHistory;
  #streams = new OriginMemory({ maxOrigins: MAX_STREAMS });
  #recorded = new Map<AttemptId, StreamOrigin>();
  /** What the rows said before the store came back from a copy, which may lack them. */
  #recordedBefore = new OriginMemory();
  /** Whether a VM that knew the past told it in its row. */
  #hasPast = false;
  /** Whether this VM's row says that it knows the past, so that later VMs can rely on it. */
  #hasToldPast = false;
  #expired: VmId[] = [];
  /**
   * The store's clock minus this VM's monotonic one, and its era; null until the rows
   * were read in this era.
   */
  #storeTime: { readonly offsetMs: number; readonly era: StoreEra } | null =
    null;
  #rowsRead = new SharedRead(() => this.#readRows(), READ_INTERVAL_MS);
  #versionsRead = new SharedRead(() => this.#readVersions(), READ_INTERVAL_MS);
  #timer: ReturnType<typeof setTimeout> | undefined;
  #isWriting = false;
  #stopped = false;

  constructor(options: OriginRecordOptions) {
    this.#options = options;
    this.#history = new VersionHistory(options.endpoints);
  }

  /** Reads what earlier VMs recorded. */
  start(): void {
    void this.#rowsRead.run();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Records the first event of a stream. */
  note(attempt: AttemptId, origin: StreamOrigin): void {
    this.#streams.note(attempt, origin);
    this.#writeLater(
      Math.max(
        this.#isSettled() ? SETTLED_WRITE_DELAY_MS : WRITE_DELAY_MS,
        WRITE_DELAY_PER_VM_MS * this.#options.vmCount(),
      ),
    );
  }

  /**
   * Records that the store has come back from an earlier copy: what was read of it no
   * longer says what it holds, and this VM's row is written again after a delay.
   */
  noteReturn(delayMs: number): void {
    for (const [attempt, origin] of this.#recorded) {
      this.#recordedBefore.note(attempt, origin);
    }
    this.#storeTime = null;
    this.#expired = [];
    this.#rowsRead.forget();
    this.#hasToldPast = false;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#writeLater(delayMs);
  }

  /** Called before and after the endpoints change; new versions are written at once. */
  noteEndpoints(): void {
    if (!this.#history.noteEndpoints()) return;
    clearTimeout(this.#timer);
    this.#timer = undefined;
    this.#writeLater(0);
  }

  /** Returns where a stream began, by the rows that were read last. */
  get(attempt: AttemptId): StreamOrigin | null {
    return this.#recorded.get(attempt) ?? this.#recordedBefore.get(attempt);
  }

  /** Resolves with where a stream began, after reading the rows anew. */
  async find(attempt: AttemptId): Promise<StreamOrigin | null> {
    await this.#rowsRead.run();
    return this.get(attempt);
  }

  /**
   * Returns where a stream may have begun that nobody recorded; null if that isn't
   * known. A route may have led to another service, so all of them are returned.
   */
  possibleOrigins(): readonly StreamOrigin[] | null {
    return this.#knowsPast() ? this.#history.all() : null;
  }

  /**
   * Adds to {@link possibleOrigins} what the store says about the time until `sinceMs`,
   * which this VM may have missed while it was cut off or paused. Returns false if the
   * store can't be read.
   */
  async confirmPossible(sinceMs: number): Promise<boolean> {
    const reads = await Promise.all([
      this.#rowsRead.runSince(sinceMs),
      this.#versionsRead.runSince(sinceMs),
    ]);
    return reads.every(Boolean);
  }

  #isSettled(): boolean {
    const origins = this.#history.all();
    const services = new Set(origins.map(({ service }) => service));
    return this.#hasToldPast && origins.length === services.size;
  }

  #knowsPast(): boolean {
    return this.#history.isComplete || this.#hasPast;
  }

  #writeLater(delayMs: number): void {
    if (this.#stopped) return;
    this.#timer ??= setTimeout(() => void this.#write(), delayMs);
  }

  async #write(): Promise<void> {
    this.#timer = undefined;
    // A write that overtakes another one could be undone by it.
    if (this.#isWriting) return this.#writeLater(WRITE_DELAY_MS);
    this.#isWriting = true;
    const isWritten = await this.#writeRow();
    this.#isWriting = false;
    if (!isWritten) this.#writeLater(FAILED_WRITE_DELAY_MS);
  }

  async #writeRow(): Promise<boolean> {
    const { vm, table, observer } = this.#options;
    // Until this VM has read its row of before a restart, it doesn't replace it.
    if (this.#storeTime === null) await this.#rowsRead.run();
    if (this.#storeTime === null) return false;
    const { offsetMs, era } = this.#storeTime;
    const row = {
      vm,
      era,
      storeTimeMs: Math.round(performance.now() + offsetMs),
      knowsPast: this.#knowsPast(),
      versions: this.#history.all(),
      streams: this.#streams.all(),
    };
    const written = await table.write(row, {
      deleted: this.#expired.splice(0),
      timeoutMs: STORE_TIMEOUT_MS,
    });
    if (written.isErr()) {
      observer.count("store_failures", written.error.kind);
      return false;
    }
    this.#hasToldPast = row.knowsPast;
    return true;
  }

  async #readRows(): Promise<boolean> {
    const { vm, table, observer } = this.#options;
    const read = await table.readAll({ timeoutMs: STORE_TIMEOUT_MS });
    if (read.isErr()) {
      observer.count("store_failures", read.error.kind);
      return false;
    }
    const { storeTimeMs, era } = read.value;
    const ageOf = (row: OriginRow) => storeTimeMs - row.storeTimeMs;
    const rows = read.value.rows.filter((row) =>
      ageOf(row) <= ORIGIN_RETENTION_MS
    );
    this.#expired = read.value.rows.filter((row) => !rows.includes(row))
      .map((row) => row.vm).filter((id) => id !== vm);
    this.#recorded = new Map(rows.flatMap(({ streams }) => [...streams]));
    // A row of an earlier era lacks what its VM saw after the copy was taken.
    this.#hasPast ||= rows.some((row) => row.knowsPast && row.era === era);
    for (const row of rows) {
      for (const { agoMs, ...origin } of row.versions) {
        this.#history.note(origin, Math.max(0, ageOf(row)) + agoMs);
      }
    }
    if (this.#storeTime === null) {
      this.#takeOver(rows.find((row) => row.vm === vm));
    }
    this.#storeTime = { offsetMs: storeTimeMs - performance.now(), era };
    return true;
  }

  async #readVersions(): Promise<boolean> {
    const { readEndpoints, observer } = this.#options;
    const read = await readEndpoints({ timeoutMs: STORE_TIMEOUT_MS });
    if (read.isErr()) {
      observer.count("store_failures", read.error.kind);
      return false;
    }
    for (const { service, softwareVersion: version } of read.value) {
      this.#history.note({ service, version });
    }
    return true;
  }

  // The row of this VM's previous start, before what has begun since.
  #takeOver(row: OriginRow | undefined): void {
    const begun = this.#streams.all();
    this.#streams = new OriginMemory({ maxOrigins: MAX_STREAMS });
    for (const [attempt, origin] of [...row?.streams ?? [], ...begun]) {
      this.#streams.note(attempt, origin);
    }
  }
}
