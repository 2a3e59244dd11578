/** Follows a table of the platform: reads it once, then long-polls for changes. */
import type { Result } from "neverthrow";
import type { Observer } from "../common/observe.ts";
import type { StoreFailure } from "../ports/platform.ts";
import type { StoreEras } from "../store/eras.ts";
import type { StoreVersion } from "../store/version.ts";
import {
  ANSWER_MARGIN_MS,
  type ReadPlan,
  type ReadTimes,
  RETRY_JITTER,
} from "./store_reads.ts";

const READ_TIMEOUT_MS = 1_500;

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
  /** Called when calls succeed again, before what they have read. */
  onRegained?(reads: ReadTimes): void;
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
  /** How long calls wait for changes, and how soon failed ones are repeated. */
  plan: ReadPlan;
  /** Delay before the next call, so that changes are read in batches; 0 (default) polls at once. */
  batchMs?: number;
}

/** One call of a feed. */
interface FeedCall {
  readonly startedAtMs: number;
  /** Whether it waits for changes. */
  readonly waits: boolean;
  /** When the call before it began, if this one repeats it; else minus infinity. */
  readonly unansweredAtMs: number;
  /** Whether its result still counts. */
  readonly isCurrent: () => boolean;
}

const NO_FAILED_READS: ReadTimes = {
  waitedSinceMs: -Infinity,
  failedAtMs: -Infinity,
};

/** Keeps one call to the store open for the changes of one table. */
export class TableFeed<Item> {
  #options: TableFeedOptions<Item>;
  /** The version to go on from; null if the table has to be read. */
  #version: StoreVersion | null = null;
  /** Counts the whole reads; the result of a call from before the last one is dropped. */
  #beginning = 0;
  #failures = 0;
  /** When the last call began that doesn't wait for changes. */
  #calledAtMs = -Infinity;
  /** Number of calls under way, without those whose result is dropped. */
  #calls = 0;
  #reads: ReadTimes = NO_FAILED_READS;
  /** Whether a call waits for changes. */
  #isWaiting = false;
  /** Whether the next call asks for the changes so far, without waiting for one. */
  #isHurried = false;
  #stopped = false;
  #lastSuccessAtMs = performance.now();
  #asOfMs = -Infinity;
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

  /**
   * When the table was certainly as it was last read, on the monotonic clock; minus
   * infinity before the first read. The store holds a call without changes for as long
   * as it may.
   */
  get asOfMs(): number {
    return this.#asOfMs;
  }

  /**
   * Asks for the changes so far at once, as the process or its machine stood still: the
   * connection of a call that waits may have become silent meanwhile. Other calls are
   * left to end, so that a process that stalls again and again makes progress.
   */
  hurry(): void {
    if (this.#stopped || !this.#isWaiting) return;
    this.#isHurried = true;
    this.#dropCalls();
    this.#schedule(0);
  }

  #beginAnew(): void {
    if (this.#stopped) return;
    this.#options.listener.onReturn?.();
    this.#version = null;
    // A call that waits at the store may have lost it without noticing, and would delay
    // the read.
    this.#dropCalls();
    // The caller may be handling an answer of this feed.
    this.#schedule(0);
  }

  #dropCalls(): void {
    this.#isWaiting = false;
    this.#beginning += 1;
    this.#calls = 0;
  }

  #schedule(delayMs: number): void {
    clearTimeout(this.#timer);
    this.#timer = setTimeout(() => void this.#step(), delayMs);
  }

  async #step(): Promise<void> {
    const beginning = this.#beginning;
    const isCurrent = () => !this.#stopped && beginning === this.#beginning;
    const startedAtMs = performance.now();
    // While calls fail, the next one doesn't wait for the end of this one, so that the
    // end of a fault is noticed within the interval.
    const isRepeated = this.#failures > 0;
    if (isRepeated) this.#schedule(this.#retryMs());
    const maxCalls = this.#version === null ? 1 : this.#options.plan.maxCalls;
    if (this.#calls >= maxCalls) return;
    this.#calls += 1;
    const waits = !isRepeated && !this.#isHurried && this.#version !== null;
    this.#isHurried = false;
    this.#isWaiting = waits;
    // If this call is answered first, the one before it was lost.
    const unansweredAtMs = isRepeated ? this.#calledAtMs : -Infinity;
    this.#calledAtMs = waits ? -Infinity : startedAtMs;
    const call = { startedAtMs, waits, unansweredAtMs, isCurrent };
    const failure = this.#version === null
      ? await this.#readAll(call)
      : await this.#readChanges(this.#version, call);
    if (!isCurrent()) return;
    this.#isWaiting = false;
    this.#calls -= 1;
    if (failure) {
      this.#noteFailure(failure, { startedAtMs, waits });
      // A call that was rejected at once would be again.
      const isSilent = performance.now() - startedAtMs >= ANSWER_MARGIN_MS;
      if (!isRepeated) this.#schedule(isSilent ? 0 : this.#retryMs());
      return;
    }
    this.#noteSuccess(call);
    this.#dropCalls();
    this.#schedule(this.#version === null ? 0 : this.#options.batchMs ?? 0);
  }

  async #readAll(call: FeedCall): Promise<StoreFailure | null> {
    const { table, listener, observer, name } = this.#options;
    const read = await table.readAll({ timeoutMs: READ_TIMEOUT_MS });
    if (read.isErr()) return read.error;
    if (!call.isCurrent()) return null;
    const { version, items } = read.value;
    this.#version = version;
    // Reported before the rows: entries that expired during the outage may still be
    // rewritten, and the listener must know that when it sees them missing.
    this.#noteSuccess(call);
    observer.log({
      event: "feed-began",
      table: name,
      version: String(version),
      items: items.length,
    });
    listener.onSnapshot(items);
    this.#asOfMs = call.startedAtMs;
    return null;
  }

  async #readChanges(
    after: StoreVersion,
    call: FeedCall,
  ): Promise<StoreFailure | null> {
    const { table, listener, observer, name, plan } = this.#options;
    // After a failure the call doesn't wait, so that recovery is noticed at once
    // and not with the next change. Rows missing at that moment may have expired
    // during the outage; rows that go missing later were removed.
    const waitMs = call.waits ? plan.waitMs : 0;
    const read = await table.readChanges({
      after,
      waitMs,
      timeoutMs: waitMs + ANSWER_MARGIN_MS,
    });
    if (read.isErr()) return read.error;
    if (!call.isCurrent()) return null;
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
    this.#noteSuccess(call);
    const { items } = read.value;
    if (items.length > 0) listener.onChanges(items);
    const wasHeld = items.length === 0 &&
      performance.now() - call.startedAtMs >= waitMs;
    this.#asOfMs = call.startedAtMs + (wasHeld ? waitMs : 0);
    return null;
  }

  #noteFailure(
    failure: StoreFailure,
    { startedAtMs, waits }: { startedAtMs: number; waits: boolean },
  ): void {
    const { observer, name } = this.#options;
    const isFirst = this.#failures === 0;
    this.#failures += 1;
    this.#reads = waits
      ? { ...NO_FAILED_READS, waitedSinceMs: startedAtMs }
      : { ...this.#reads, failedAtMs: startedAtMs };
    observer.count("store_failures", failure.kind);
    if (!isFirst) return;
    observer.log({
      event: "store-lost",
      level: "warn",
      table: name,
      detail: failure.detail,
      sinceMs: Math.round(performance.now() - startedAtMs),
    });
  }

  #noteSuccess({ unansweredAtMs }: FeedCall): void {
    const { listener, observer, name } = this.#options;
    this.#lastSuccessAtMs = performance.now();
    if (this.#failures === 0) return;
    observer.log({
      event: "store-regained",
      table: name,
      failures: this.#failures,
    });
    this.#failures = 0;
    const { waitedSinceMs, failedAtMs } = this.#reads;
    listener.onRegained?.({
      waitedSinceMs,
      failedAtMs: Math.max(failedAtMs, unansweredAtMs),
    });
    this.#reads = NO_FAILED_READS;
  }

  #retryMs(): number {
    const { plan, random } = this.#options;
    return plan.retryMs * (1 - RETRY_JITTER * random());
  }
}
