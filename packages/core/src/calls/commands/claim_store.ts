/**
 * Writes the rows of calls in group commits and retries each write until its
 * outcome is definite.
 */
import type {
  Json,
  PlatformPort,
  Row,
  RowExpectation,
  RowWrite,
} from "../../ports/platform.ts";
import type { RequestKey } from "../../common/ids.ts";
import type { VmContext } from "../../vm/types.ts";
import type { CallPolicies } from "../policies.ts";
import type { CallRow } from "../types.ts";

/**
 * The table with one row for each call that must run at most once, keyed by
 * request key.
 */
export const CALLS_TABLE = "calls";

const COMMIT_TIMEOUT_MS = 1_000;
const MAX_BATCH_ROWS = 100;
const BURST_COMMITS = 5;
/** How long a write that is not urgent is delayed, to be batched with others. */
const BATCH_DELAY_MS = 100;
const UNAVAILABLE_AFTER_FAILURES = 2;
const RETRY_DELAY_MS = 100;
const DOWN_RETRY_DELAY_MS = 500;
const MIN_RETRY_AFTER_MS = 2_000;

/** The definite outcome of a write. */
export type WriteOutcome =
  | { readonly kind: "written" }
  | { readonly kind: "conflict"; readonly row: Row | null }
  /** It was withdrawn, and no attempt can have written it. */
  | { readonly kind: "withdrawn" };

/** One write to a call's row. */
export interface CallWrite {
  readonly row: CallRow;
  readonly expect: RowExpectation;
  /** Whether a caller waits for it; if not, it may be delayed to be batched. */
  readonly urgent: boolean;
}

/** A queued write. */
export interface PendingWrite {
  readonly outcome: Promise<WriteOutcome>;
  /**
   * Withdraws the write unless an attempt may have written it; in that case it
   * is retried until its outcome is definite.
   */
  withdraw(): void;
}

/** Options of {@link ClaimStore}. */
export interface ClaimStoreOptions {
  policies: CallPolicies;
  /** Number of live VMs of all regions; they share the allowed rate of commits. */
  liveVms: () => number;
  /** Called when the table service becomes unavailable, and when it is available again. */
  onAvailabilityChange: (available: boolean) => void;
}

interface QueuedWrite {
  row: CallRow;
  readonly expect: RowExpectation;
  readonly urgent: boolean;
  /** Number of attempts that may have written it. */
  attempts: number;
  readonly settle: (outcome: WriteOutcome) => void;
}

/** Owns this VM's writes to the rows of calls. Only one commit is in progress at a time. */
export class ClaimStore {
  #context: VmContext;
  #options: ClaimStoreOptions;
  #queue: QueuedWrite[] = [];
  #committing = false;
  #failures = 0;
  #allowance = BURST_COMMITS;
  #allowanceAtMs = 0;
  #timer: { handle: ReturnType<typeof setTimeout>; atMs: number } | undefined;
  #probing = false;
  #stopped = false;

  constructor(context: VmContext, options: ClaimStoreOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** False while the table service doesn't confirm writes. */
  get available(): boolean {
    return this.#failures < UNAVAILABLE_AFTER_FAILURES;
  }

  /**
   * How long a caller should wait before a retry while the table service is
   * down; randomised to spread retries.
   */
  get retryAfterMs(): number {
    return MIN_RETRY_AFTER_MS +
      Math.ceil(this.#context.random() * MIN_RETRY_AFTER_MS);
  }

  /** Queues a write. */
  write(write: CallWrite): PendingWrite {
    let settle: (outcome: WriteOutcome) => void = () => {};
    const outcome = new Promise<WriteOutcome>((resolve) => (settle = resolve));
    const queued: QueuedWrite = { ...write, attempts: 0, settle };
    this.#queue.push(queued);
    this.#schedule(write.urgent ? 0 : BATCH_DELAY_MS);
    return {
      outcome,
      withdraw: () => {
        if (queued.attempts > 0 || !this.#queue.includes(queued)) return;
        this.#queue = this.#queue.filter((other) => other !== queued);
        settle({ kind: "withdrawn" });
      },
    };
  }

  /** Reads a call's row; null if there is none. */
  async read(key: RequestKey): Promise<"failed" | Row | null> {
    const read = await this.#platform.read(CALLS_TABLE, key, {
      timeoutMs: COMMIT_TIMEOUT_MS,
    });
    return read.isOk() ? read.value : "failed";
  }

  /** Stops the timers. Writes without a definite outcome are not settled. */
  stop(): void {
    this.#stopped = true;
    if (this.#timer) clearTimeout(this.#timer.handle);
  }

  get #platform(): PlatformPort {
    return this.#context.ports.platform;
  }

  #schedule(waitMs: number): void {
    if (this.#committing || this.#stopped || this.#queue.length === 0) return;
    const atMs = performance.now() + Math.max(waitMs, this.#commitDelayMs());
    if (this.#timer && this.#timer.atMs <= atMs) return;
    if (this.#timer) clearTimeout(this.#timer.handle);
    this.#timer = undefined;
    if (atMs <= performance.now()) return void this.#commit();
    const handle = setTimeout(() => {
      this.#timer = undefined;
      void this.#commit();
    }, atMs - performance.now());
    this.#timer = { handle, atMs };
  }

  #commitDelayMs(): number {
    const intervalMs = this.#options.policies.commitIntervalMs(
      this.#options.liveVms(),
    );
    const nowMs = performance.now();
    const earned = (nowMs - this.#allowanceAtMs) / intervalMs;
    this.#allowance = Math.min(BURST_COMMITS, this.#allowance + earned);
    this.#allowanceAtMs = nowMs;
    if (this.#allowance >= 1) return 0;
    return Math.ceil((1 - this.#allowance) * intervalMs);
  }

  async #commit(): Promise<void> {
    const batch = this.#nextBatch();
    if (batch.length === 0) this.#probe();
    if (this.#committing || batch.length === 0) return;
    this.#committing = true;
    this.#allowance -= 1;
    for (const write of batch) this.#prepareAttempt(write);
    const committed = await this.#platform.transact(batch.map(toWrite), {
      timeoutMs: COMMIT_TIMEOUT_MS,
    });
    this.#committing = false;
    if (committed.isErr()) {
      this.#fail(batch, committed.error.kind);
      return;
    }
    this.#succeed();
    if (committed.value.kind === "committed") {
      this.#settle(batch, () => ({ kind: "written" }));
    } else this.#settleConflicts(batch, committed.value.conflicts);
    this.#schedule(
      this.#queue.some((write) => write.urgent) ? 0 : BATCH_DELAY_MS,
    );
  }

  // Writes whose outcome is uncertain get a batch of their own, so that their
  // conflicts don't delay new writes.
  #nextBatch(): QueuedWrite[] {
    const uncertain = this.#queue.filter((write) => write.attempts > 0);
    const keys = new Set<RequestKey>();
    const batch: QueuedWrite[] = [];
    for (const write of uncertain.length > 0 ? uncertain : this.#queue) {
      if (keys.has(write.row.key)) continue;
      keys.add(write.row.key);
      batch.push(write);
      if (batch.length === MAX_BATCH_ROWS) break;
    }
    return batch;
  }

  #prepareAttempt(write: QueuedWrite): void {
    const { policies } = this.#options;
    const before = write.row.writeToken;
    const token = policies.retryToken(before, write.attempts);
    write.attempts += 1;
    if (token !== before) write.row = { ...write.row, writeToken: token };
  }

  #settle(
    settled: readonly QueuedWrite[],
    outcomeOf: (write: QueuedWrite) => WriteOutcome,
  ): void {
    this.#queue = this.#queue.filter((write) => !settled.includes(write));
    for (const write of settled) write.settle(outcomeOf(write));
  }

  #settleConflicts(
    batch: readonly QueuedWrite[],
    conflicts: readonly { index: number; row: Row | null }[],
  ): void {
    const rows = new Map<QueuedWrite, Row | null>();
    for (const { index, row } of conflicts) rows.set(batch[index]!, row);
    // The others were not written, because a transaction is atomic.
    for (const write of batch) if (!rows.has(write)) write.attempts -= 1;
    this.#settle([...rows.keys()], (write) => {
      const row = rows.get(write) ?? null;
      const found = row?.value as unknown as CallRow | undefined;
      return found?.writeToken === write.row.writeToken
        ? { kind: "written" }
        : { kind: "conflict", row };
    });
  }

  #fail(batch: readonly QueuedWrite[], kind: "notSent" | "unknown"): void {
    if (kind === "notSent") { for (const write of batch) write.attempts -= 1; }
    else this.#context.observer.count("retries", "claim-reply-lost");
    this.#context.observer.count("store_failures", `calls-${kind}`);
    const before = this.available;
    this.#failures += 1;
    if (before && !this.available) this.#options.onAvailabilityChange(false);
    this.#schedule(this.available ? RETRY_DELAY_MS : DOWN_RETRY_DELAY_MS);
  }

  #succeed(): void {
    const before = this.available;
    this.#failures = 0;
    if (!before) this.#options.onAvailabilityChange(true);
  }

  // With an empty queue, only a read shows that the table service is available again.
  #probe(): void {
    if (this.#probing || this.available) return;
    this.#probing = true;
    setTimeout(async () => {
      this.#probing = false;
      if (this.#stopped || this.available || this.#queue.length > 0) return;
      const read = await this.#platform.read(CALLS_TABLE, "probe", {
        timeoutMs: COMMIT_TIMEOUT_MS,
      });
      if (read.isOk()) this.#succeed();
      else this.#probe();
    }, DOWN_RETRY_DELAY_MS);
  }
}

function toWrite({ row, expect }: QueuedWrite): RowWrite {
  return {
    table: CALLS_TABLE,
    key: row.key,
    expect,
    value: row as unknown as Json,
  };
}
