/** Writes the rows of calls in group commits and repeats each write until its outcome is definite. */
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

/** The table that holds a row for each call that may not be repeated. */
export const CALLS_TABLE = "calls";

const COMMIT_TIMEOUT_MS = 1_000;
const MAX_BATCH_ROWS = 100;
const BURST_COMMITS = 5;
/** How long a write that nobody waits for lets others gather. */
const GATHER_MS = 100;
const FAILURES_UNTIL_DOWN = 2;
const REPEAT_PAUSE_MS = 100;
const DOWN_REPEAT_PAUSE_MS = 500;
const DOWN_RETRY_MS = 2_000;

/** What became of a write. */
export type WriteOutcome =
  | { readonly kind: "written" }
  | { readonly kind: "conflict"; readonly row: Row | null }
  /** It was taken back before it was ever sent. */
  | { readonly kind: "withdrawn" };

/** One write to a call's row. */
export interface CallWrite {
  readonly row: CallRow;
  readonly expect: RowExpectation;
  /** Whether somebody waits for it. */
  readonly urgent: boolean;
}

/** A write that was handed in. */
export interface PendingWrite {
  readonly outcome: Promise<WriteOutcome>;
  /** Takes it back if it was never sent; else it goes on until its outcome is definite. */
  withdraw(): void;
}

/** Options of {@link ClaimStore}. */
export interface ClaimStoreOptions {
  policies: CallPolicies;
  liveVms: () => number;
  /** Told when the table service can't be reached, and when it can again. */
  onAvailability: (available: boolean) => void;
}

interface Queued {
  row: CallRow;
  readonly expect: RowExpectation;
  readonly urgent: boolean;
  /** How often it was sent without a definite reply. */
  attempts: number;
  readonly settle: (outcome: WriteOutcome) => void;
}

/** Owns the writes of this VM to the rows of calls. One commit is under way at a time. */
export class ClaimStore {
  #context: VmContext;
  #options: ClaimStoreOptions;
  #queue: Queued[] = [];
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

  /** False while the table service doesn't confirm what is written. */
  get available(): boolean {
    return this.#failures < FAILURES_UNTIL_DOWN;
  }

  /** How long callers should stay away while the table service is down. */
  get retryAfterMs(): number {
    return DOWN_RETRY_MS + Math.ceil(this.#context.random() * DOWN_RETRY_MS);
  }

  /** Hands a write in. */
  write(write: CallWrite): PendingWrite {
    let settle: (outcome: WriteOutcome) => void = () => {};
    const outcome = new Promise<WriteOutcome>((resolve) => (settle = resolve));
    const queued: Queued = { ...write, attempts: 0, settle };
    this.#queue.push(queued);
    this.#schedule(write.urgent ? 0 : GATHER_MS);
    return {
      outcome,
      withdraw: () => {
        if (queued.attempts > 0 || !this.#queue.includes(queued)) return;
        this.#queue = this.#queue.filter((one) => one !== queued);
        settle({ kind: "withdrawn" });
      },
    };
  }

  /** Reads a call's row. */
  async read(key: RequestKey): Promise<"failed" | Row | null> {
    const read = await this.#platform.read(CALLS_TABLE, key, {
      timeoutMs: COMMIT_TIMEOUT_MS,
    });
    return read.isOk() ? read.value : "failed";
  }

  /** Ends the timers. Writes that are not definite yet stay so. */
  stop(): void {
    this.#stopped = true;
    if (this.#timer) clearTimeout(this.#timer.handle);
  }

  get #platform(): PlatformPort {
    return this.#context.ports.platform;
  }

  #schedule(waitMs: number): void {
    if (this.#committing || this.#stopped || this.#queue.length === 0) return;
    const atMs = performance.now() + Math.max(waitMs, this.#pauseMs());
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

  #pauseMs(): number {
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
    for (const one of batch) this.#prepare(one);
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
    this.#schedule(this.#queue.some((one) => one.urgent) ? 0 : GATHER_MS);
  }

  // Writes whose outcome is open go apart, so that their conflicts hold no new ones up.
  #nextBatch(): Queued[] {
    const open = this.#queue.filter((one) => one.attempts > 0);
    const keys = new Set<RequestKey>();
    const batch: Queued[] = [];
    for (const one of open.length > 0 ? open : this.#queue) {
      if (keys.has(one.row.key)) continue;
      keys.add(one.row.key);
      batch.push(one);
      if (batch.length === MAX_BATCH_ROWS) break;
    }
    return batch;
  }

  #prepare(one: Queued): void {
    const { policies } = this.#options;
    const before = one.row.writeToken;
    const token = policies.retryToken(before, one.attempts);
    one.attempts += 1;
    if (token !== before) one.row = { ...one.row, writeToken: token };
  }

  #settle(
    settled: readonly Queued[],
    outcomeOf: (one: Queued) => WriteOutcome,
  ): void {
    this.#queue = this.#queue.filter((one) => !settled.includes(one));
    for (const one of settled) one.settle(outcomeOf(one));
  }

  #settleConflicts(
    batch: readonly Queued[],
    conflicts: readonly { index: number; row: Row | null }[],
  ): void {
    const rows = new Map<Queued, Row | null>();
    for (const { index, row } of conflicts) rows.set(batch[index]!, row);
    // The others were not written, for a transaction commits as a whole.
    for (const one of batch) if (!rows.has(one)) one.attempts -= 1;
    this.#settle([...rows.keys()], (one) => {
      const row = rows.get(one) ?? null;
      const found = row?.value as unknown as CallRow | undefined;
      return found?.writeToken === one.row.writeToken
        ? { kind: "written" }
        : { kind: "conflict", row };
    });
  }

  #fail(batch: readonly Queued[], kind: "notSent" | "unknown"): void {
    if (kind === "notSent") { for (const one of batch) one.attempts -= 1; }
    else this.#context.observer.count("retries", "claim-reply-lost");
    this.#context.observer.count("store_failures", `calls-${kind}`);
    const before = this.available;
    this.#failures += 1;
    if (before && !this.available) this.#options.onAvailability(false);
    this.#schedule(this.available ? REPEAT_PAUSE_MS : DOWN_REPEAT_PAUSE_MS);
  }

  #succeed(): void {
    const before = this.available;
    this.#failures = 0;
    if (!before) this.#options.onAvailability(true);
  }

  // With nothing left to write, a read finds out when the table service is back.
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
    }, DOWN_REPEAT_PAUSE_MS);
  }
}

function toWrite({ row, expect }: Queued): RowWrite {
  return {
    table: CALLS_TABLE,
    key: row.key,
    expect,
    value: row as unknown as Json,
  };
}
