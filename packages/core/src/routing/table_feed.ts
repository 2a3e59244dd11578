/** Follows a table of the platform by its feed of changes. */
import type { Result } from "neverthrow";
import type { Observer } from "../common/observe.ts";
import type { StoreFailure } from "../ports/platform.ts";

/** How long the store holds a call that waits for changes, where nothing else is said. */
const DEFAULT_WAIT_MS = 2_500;
/** Time beyond the wait after which a call's connection counts as silent. */
const ANSWER_MARGIN_MS = 900;
const READ_TIMEOUT_MS = 1_500;
/** Pause before a failed call is repeated, at random up to twice this. */
const RETRY_DELAY_MS = 150;
const MAX_RETRY_DELAY_MS = 600;

/** Rows of a table up to a version. */
export interface TableReading<Item> {
  readonly items: readonly Item[];
  readonly version: number;
}

/** A table whose changes can be followed. */
export interface FollowedTable<Item> {
  /** Reads all rows. */
  readAll(
    options: { timeoutMs: number },
  ): Promise<Result<TableReading<Item>, StoreFailure>>;
  /** Waits for changes after a version; `expired` once that history is gone. */
  readChanges(
    options: { after: number; waitMs: number; timeoutMs: number },
  ): Promise<Result<TableReading<Item> | "expired", StoreFailure>>;
}

/** Receives what a feed reads. */
export interface FeedListener<Item> {
  onSnapshot(items: readonly Item[]): void;
  onChanges(items: readonly Item[]): void;
  /** Called when calls begin to fail, and when they succeed again. */
  onReachable?(reachable: boolean): void;
}

/** Options of {@link TableFeed}. */
export interface TableFeedOptions<Item> {
  /** Names the table in logs. */
  name: string;
  table: FollowedTable<Item>;
  listener: FeedListener<Item>;
  observer: Observer;
  random: () => number;
  /**
   * How long the store may hold a call. A connection that has gone silent shows
   * only after this time, so that it bounds how late a change may be noticed.
   */
  waitMs?: number;
  /** Time that changes may gather before the next call; 0 asks again at once. */
  batchMs?: number;
}

/** Owns the calls that follow one table. */
export class TableFeed<Item> {
  #options: TableFeedOptions<Item>;
  #version: number | null = null;
  #failures = 0;
  #stopped = false;
  #lastSuccessAtMs = performance.now();
  #timer: ReturnType<typeof setTimeout> | undefined;

  constructor(options: TableFeedOptions<Item>) {
    this.#options = options;
  }

  /** Follows the table until it is stopped; resolves after the first call. */
  async start(): Promise<void> {
    await this.#step();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Time since the last call that succeeded, or since the start. */
  ageMs(): number {
    return performance.now() - this.#lastSuccessAtMs;
  }

  async #step(): Promise<void> {
    const failure = this.#version === null
      ? await this.#readAll()
      : await this.#readChanges(this.#version);
    if (this.#stopped) return;
    this.#noteReachability(failure);
    this.#timer = setTimeout(() => void this.#step(), this.#delayMs());
  }

  async #readAll(): Promise<StoreFailure | null> {
    const { table, listener } = this.#options;
    const read = await table.readAll({ timeoutMs: READ_TIMEOUT_MS });
    if (read.isErr()) return read.error;
    if (this.#stopped) return null;
    this.#version = read.value.version;
    // What was missing for a moment may be back, so the store's return is told before the rows.
    this.#noteReachability(null);
    listener.onSnapshot(read.value.items);
    return null;
  }

  async #readChanges(after: number): Promise<StoreFailure | null> {
    const { table, listener, observer, name } = this.#options;
    // The return shows at once, and not with the next change: what is missing then
    // may have lapsed meanwhile, what goes missing later has gone.
    const waitMs = this.#failures > 0
      ? 0
      : this.#options.waitMs ?? DEFAULT_WAIT_MS;
    const read = await table.readChanges({
      after,
      waitMs,
      timeoutMs: waitMs + ANSWER_MARGIN_MS,
    });
    if (read.isErr()) return read.error;
    if (this.#stopped) return null;
    const expired = read.value === "expired";
    if (read.value === "expired" || read.value.version < after) {
      const reason = expired ? "expired" : "regress";
      observer.log({ event: "feed-restarted", table: name, reason, after });
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
