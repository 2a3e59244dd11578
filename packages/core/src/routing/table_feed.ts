/** Follows a table of the platform: reads it once, then long-polls for changes. */
import type { Result } from "neverthrow";
import type { Observer } from "../common/observe.ts";
import type { StoreFailure } from "../ports/platform.ts";
import type { StoreEras } from "../store/eras.ts";
import type { StoreVersion } from "../store/version.ts";

/** Default time for which the store holds a call that waits for changes. */
const DEFAULT_WAIT_MS = 2_500;
/** Time beyond the wait after which a call without an answer has failed. */
const ANSWER_MARGIN_MS = 900;
const READ_TIMEOUT_MS = 1_500;
/** Base delay before a failed call is retried; doubles with each failure, with jitter of ±50%. */
const RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 600;

/** Rows read from a table, and the version as of which they are complete. */
export interface TableReading<Item> {
  readonly items: readonly Item[];
  readonly version: StoreVersion;
}

/** A table whose changes can be followed. */
export interface FollowedTable<Item> {
  /** Reads all rows of the table. */
  readAll(
    options: { timeoutMs: number },
  ): Promise<Result<TableReading<Item>, StoreFailure>>;
  /**
   * Reads the changes after version `after`, waiting up to `waitMs` for the first;
   * returns `expired` if the store doesn't have that history.
   */
  readChanges(
    options: { after: StoreVersion; waitMs: number; timeoutMs: number },
  ): Promise<Result<TableReading<Item> | "expired", StoreFailure>>;
}

/** Receives the rows that a feed reads. */
export interface FeedListener<Item> {
  /** Receives all rows of the table, which replace earlier ones. */
  onSnapshot(items: readonly Item[]): void;
  onChanges(items: readonly Item[]): void;
  /**
   * Called when the store has come back from an earlier copy, before the next snapshot.
   * That may lack rows that were seen, and hold rows that were gone.
   */
  onReturn?(): void;
  /** Called with false when calls start to fail, and with true when they succeed again. */
  onReachable?(reachable: boolean): void;
}

/** Options of {@link TableFeed}. */
export interface TableFeedOptions<Item> {
  /** Name of the table in logs. */
  name: string;
  table: FollowedTable<Item>;
  listener: FeedListener<Item>;
  /** Returns of the store from an earlier copy, after each of which the table is read anew. */
  eras: StoreEras;
  observer: Observer;
  random: () => number;
  /**
   * How long the store may hold a call. An unresponsive connection is detected only
   * after this time, so it limits how late a change may be noticed.
   */
  waitMs?: number;
  /** Delay before the next call, so that changes are read in batches; 0 (default) polls at once. */
  batchMs?: number;
}

/** Keeps one call to the store open for the changes of one table. */
export class TableFeed<Item> {
  #options: TableFeedOptions<Item>;
  /** The version to go on from; null if the table has to be read. */
  #version: StoreVersion | null = null;
  /** Counts the whole reads; the result of a call from before the last one is dropped. */
  #beginning = 0;
  #failures = 0;
  #stopped = false;
  #lastSuccessAtMs = performance.now();
  #timer: ReturnType<typeof setTimeout> | undefined;
  #stopListening: () => void;

  constructor(options: TableFeedOptions<Item>) {
    this.#options = options;
    this.#stopListening = options.eras.onReturn(() => this.#beginAnew());
  }

  /** Follows the table until {@link stop}; resolves after the first call, even if it failed. */
  async start(): Promise<void> {
    await this.#step();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#stopListening();
  }

  /** Whether the last call failed. */
  get isFailing(): boolean {
    return this.#failures > 0;
  }

  /** Time since the last successful call, or since creation if there was none. */
  ageMs(): number {
    return performance.now() - this.#lastSuccessAtMs;
  }

  // A call that waits at the store may have lost it without noticing, and would delay
  // the read.
  #beginAnew(): void {
    if (this.#stopped) return;
    this.#options.listener.onReturn?.();
    this.#version = null;
    this.#beginning += 1;
    clearTimeout(this.#timer);
    // The caller may be handling an answer of this feed.
    this.#timer = setTimeout(() => void this.#step(), 0);
  }

  async #step(): Promise<void> {
    const beginning = this.#beginning;
    const isCurrent = () => !this.#stopped && beginning === this.#beginning;
    const failure = this.#version === null
      ? await this.#readAll(isCurrent)
      : await this.#readChanges(this.#version, isCurrent);
    if (!isCurrent()) return;
    this.#noteReachability(failure);
    this.#timer = setTimeout(() => void this.#step(), this.#delayMs());
  }

  async #readAll(isCurrent: () => boolean): Promise<StoreFailure | null> {
    const { table, listener, observer, name } = this.#options;
    const read = await table.readAll({ timeoutMs: READ_TIMEOUT_MS });
    if (read.isErr()) return read.error;
    if (!isCurrent()) return null;
    const { version, items } = read.value;
    this.#version = version;
    // Reported before the rows: entries that expired during the outage may still be
    // rewritten, and the listener must know that when it sees them missing.
    this.#noteReachability(null);
    observer.log({
      event: "feed-began",
      table: name,
      version: String(version),
      items: items.length,
    });
    listener.onSnapshot(items);
    return null;
  }

  async #readChanges(
    after: StoreVersion,
    isCurrent: () => boolean,
  ): Promise<StoreFailure | null> {
    const { table, listener, observer, name } = this.#options;
    // After a failure the call doesn't wait, so that recovery is noticed at once
    // and not with the next change. Rows missing at that moment may have expired
    // during the outage; rows that go missing later were removed.
    const waitMs = this.#failures > 0
      ? 0
      : this.#options.waitMs ?? DEFAULT_WAIT_MS;
    const read = await table.readChanges({
      after,
      waitMs,
      timeoutMs: waitMs + ANSWER_MARGIN_MS,
    });
    if (read.isErr()) return read.error;
    if (!isCurrent()) return null;
    if (read.value === "expired" || !read.value.version.continues(after)) {
      observer.log({
        event: "feed-restarted",
        table: name,
        reason: read.value === "expired" ? "expired" : "regress",
        after: String(after),
      });
      this.#version = null;
      return null;
    }
    this.#version = read.value.version;
    this.#noteReachability(null);
    if (read.value.items.length > 0) listener.onChanges(read.value.items);
    return null;
  }

  #noteReachability(failure: StoreFailure | null): void {
    const { listener, observer, name } = this.#options;
    const before = this.#failures;
    if (!failure) this.#lastSuccessAtMs = performance.now();
    this.#failures = failure ? before + 1 : 0;
    if (failure) observer.count("store_failures", failure.kind);
    if ((before > 0) === (this.#failures > 0)) return;
    listener.onReachable?.(failure === null);
    observer.log({
      event: failure ? "store-lost" : "store-regained",
      level: failure ? "warn" : "info",
      table: name,
      detail: failure?.detail,
      failures: before,
    });
  }

  #delayMs(): number {
    if (this.#failures === 0) {
      return this.#version === null ? 0 : this.#options.batchMs ?? 0;
    }
    const limitMs = Math.min(
      MAX_RETRY_DELAY_MS,
      RETRY_DELAY_MS * 2 ** Math.min(this.#failures - 1, 4),
    );
    return limitMs * (0.5 + this.#options.random());
  }
}
