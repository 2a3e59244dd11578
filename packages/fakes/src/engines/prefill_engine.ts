/** A fake prefill engine: one prefill at a time, results kept for under a second. */
import { err, ok, type Result } from "neverthrow";
import type {
  EngineFailure,
  HeldRun,
  PrefillOrder,
  PrefillResult,
  StreamId,
} from "@teaselvalve/core";
import { FakeEngine, type FakeEngineOptions } from "./engine_base.ts";
import { Link, type TransferHandle } from "./link.ts";
import { PrefixCache } from "./prefix_cache.ts";

/** What a decode engine needs to know of an export. */
export interface ExportedCache {
  readonly sizeBytes: number;
  readonly promptTokens: number;
}

/** How a decode engine draws an export out of a prefill engine. */
export type FetchExport = (
  stream: StreamId,
) => Promise<Result<ExportedCache, EngineFailure>>;

type Finish = (result: Result<PrefillResult, EngineFailure>) => void;

interface PrefillJob {
  readonly order: PrefillOrder;
  readonly finish: Finish;
}

interface HeldExport {
  readonly order: PrefillOrder;
  readonly cache: ExportedCache;
  expiry: ReturnType<typeof setTimeout> | undefined;
  transfer: TransferHandle | undefined;
  fail: ((failure: EngineFailure) => void) | undefined;
}

/** A record of one prefill, for measuring waste. */
export interface PrefillRecord {
  readonly stream: StreamId;
  readonly spentMs: number;
}

/** Runs prefills and keeps their results for a short time. */
export class FakePrefillEngine extends FakeEngine {
  readonly role = "prefill";
  readonly link: Link;
  /** Told of each prefill that was run, whole or in part. */
  onPrefill: ((record: PrefillRecord) => void) | undefined;
  #cache: PrefixCache;
  #queue: PrefillJob[] = [];
  #current: PrefillJob | undefined;
  #currentTimer: ReturnType<typeof setTimeout> | undefined;
  #currentSinceMs = 0;
  #exports = new Map<StreamId, HeldExport>();

  constructor(options: FakeEngineOptions) {
    super(options);
    this.link = new Link(options.profile.linkBytesPerMs);
    this.#cache = new PrefixCache(options.profile, options.random);
  }

  /** Queues a prefill; resolves when its result is exported. */
  prefill(order: PrefillOrder): Promise<Result<PrefillResult, EngineFailure>> {
    this.ordersReceived += 1;
    if (!this.up) return Promise.resolve(err({ kind: "notSent" }));
    if (this.state === "leaving") return rejected("leaving");
    if (this.isCancelled(order.stream)) return rejected("cancelled");
    if (!this.models.includes(order.model)) return rejected("unknown-model");
    return new Promise((finish) => {
      const place = this.#queue.findIndex((job) =>
        job.order.priority < order.priority
      );
      const job = { order, finish };
      if (place === -1) this.#queue.push(job);
      else this.#queue.splice(place, 0, job);
      this.#next();
    });
  }

  /** Sends an export over the link, in place of a transfer under way; it is freed once it has arrived. */
  transfer(stream: StreamId): Promise<Result<ExportedCache, EngineFailure>> {
    const held = this.#exports.get(stream);
    if (!this.up) return Promise.resolve(err({ kind: "notSent" }));
    if (!held) return rejected("export-gone");
    clearTimeout(held.expiry);
    held.transfer?.abort();
    held.fail?.({ kind: "rejected", code: "transfer-failed" });
    return new Promise((finish) => {
      held.fail = (failure) => finish(err(failure));
      held.transfer = this.link.transfer(held.cache.sizeBytes, () => {
        this.#exports.delete(stream);
        finish(ok(held.cache));
      });
    });
  }

  /** Frees what a run holds here; a run that has not arrived is refused later. */
  cancel(stream: StreamId): void {
    this.recordCancel(stream);
    this.#dropExport(stream, { kind: "rejected", code: "cancelled" });
    const queued = this.#queue.find((job) => job.order.stream === stream);
    if (queued) {
      this.#queue.splice(this.#queue.indexOf(queued), 1);
      queued.finish(err({ kind: "rejected", code: "cancelled" }));
    }
    if (this.#current?.order.stream === stream) {
      this.#endCurrent(err({ kind: "rejected", code: "cancelled" }));
      this.#next();
    }
  }

  /** Cache events that have arrived. */
  cacheEvents(after: number) {
    return this.#cache.eventsAfter(after);
  }

  heldRuns(): HeldRun[] {
    const orders = [...this.#exports.values()].map((one) => one.order);
    if (this.#current) orders.push(this.#current.order);
    orders.push(...this.#queue.map((job) => job.order));
    return orders.map((order) => ({
      stream: order.stream,
      key: order.key,
      owner: order.owner,
      memoryPieces: this.#pieces(order),
      generatedTokens: 0,
    }));
  }

  protected queuedTokens(): number {
    return this.#queue.reduce((sum, job) => sum + job.order.prompt.tokens, 0);
  }

  protected dropAll(): void {
    const lost: EngineFailure = { kind: "lost" };
    for (const stream of [...this.#exports.keys()]) {
      this.#dropExport(stream, lost);
    }
    const queued = this.#queue.splice(0);
    for (const job of queued) job.finish(err(lost));
    if (this.#current) this.#endCurrent(err(lost));
    this.#cache.clear();
  }

  #next(): void {
    if (this.#current || !this.up) return;
    const job = this.#queue.shift();
    if (!job) return;
    this.#current = job;
    this.#currentSinceMs = performance.now();
    const { blocks, tokens } = job.order.prompt;
    const cachedTokens = Math.min(
      tokens,
      this.#cache.match(blocks) * this.profile.tokensPerKvBlock,
    );
    const spendMs = this.profile.prefillBaseMs +
      (tokens - cachedTokens) * this.profile.prefillPerTokenMs;
    this.#currentTimer = setTimeout(() => {
      this.#cache.add(blocks);
      this.#export(job.order);
      this.#endCurrent(ok({
        cachedTokens,
        sizeBytes: tokens * this.profile.kvBytesPerToken,
        memoryPieces: this.#pieces(job.order),
        keptMs: this.profile.exportRetentionMs,
      }));
      this.#next();
    }, spendMs);
  }

  #endCurrent(result: Result<PrefillResult, EngineFailure>): void {
    const job = this.#current;
    if (!job) return;
    clearTimeout(this.#currentTimer);
    this.#current = undefined;
    this.onPrefill?.({
      stream: job.order.stream,
      spentMs: performance.now() - this.#currentSinceMs,
    });
    job.finish(result);
  }

  #export(order: PrefillOrder): void {
    const { stream, prompt } = order;
    this.#exports.set(stream, {
      order,
      cache: {
        sizeBytes: prompt.tokens * this.profile.kvBytesPerToken,
        promptTokens: prompt.tokens,
      },
      expiry: setTimeout(
        () => this.#exports.delete(stream),
        this.profile.exportRetentionMs,
      ),
      transfer: undefined,
      fail: undefined,
    });
  }

  #dropExport(stream: StreamId, failure: EngineFailure): void {
    const held = this.#exports.get(stream);
    if (!held) return;
    clearTimeout(held.expiry);
    held.transfer?.abort();
    this.#exports.delete(stream);
    held.fail?.(failure);
  }

  #pieces(order: PrefillOrder): number {
    return Math.ceil(order.prompt.tokens / this.profile.tokensPerKvBlock);
  }
}

function rejected<T>(
  code: "leaving" | "cancelled" | "unknown-model" | "export-gone",
): Promise<Result<T, EngineFailure>> {
  return Promise.resolve(err({ kind: "rejected", code }));
}
