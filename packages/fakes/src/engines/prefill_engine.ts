/**
 * A fake prefill engine: it runs one prefill at a time and keeps each exported KV
 * cache until it is transferred, at most for `exportRetentionMs`.
 */
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

/** Size of an exported KV cache, as a decode engine needs it. */
export interface ExportedCache {
  readonly sizeBytes: number;
  readonly promptTokens: number;
}

/** Transfers an exported KV cache from a prefill engine to a decode engine. */
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

/** Time spent on one prefill, for measuring wasted prefills. */
export interface PrefillRecord {
  readonly stream: StreamId;
  readonly spentMs: number;
}

/** Runs prefills and keeps each exported KV cache until it is transferred or expires. */
export class FakePrefillEngine extends FakeEngine {
  readonly role = "prefill";
  readonly link: Link;
  /** Called for each prefill that was run, fully or partly. */
  onPrefill: ((record: PrefillRecord) => void) | undefined;
  #cache: PrefixCache;
  #queue: PrefillJob[] = [];
  #current: PrefillJob | undefined;
  #currentTimer: ReturnType<typeof setTimeout> | undefined;
  #currentStartedAtMs = 0;
  #exports = new Map<StreamId, HeldExport>();

  constructor(options: FakeEngineOptions) {
    super(options);
    this.link = new Link(options.profile.linkBytesPerMs);
    this.#cache = new PrefixCache(options.profile, options.random);
  }

  /** Queues a prefill by priority; resolves once its export can be transferred. */
  prefill(order: PrefillOrder): Promise<Result<PrefillResult, EngineFailure>> {
    this.ordersReceived += 1;
    if (!this.up) return Promise.resolve(err({ kind: "notSent" }));
    if (this.state === "leaving") return rejected("leaving");
    if (this.isCancelled(order.stream)) return rejected("cancelled");
    if (!this.models.includes(order.model)) return rejected("unknown-model");
    return new Promise((finish) => {
      const index = this.#queue.findIndex((job) =>
        job.order.priority < order.priority
      );
      const job = { order, finish };
      if (index === -1) this.#queue.push(job);
      else this.#queue.splice(index, 0, job);
      this.#startNext();
    });
  }

  /**
   * Sends an exported KV cache over the link and frees it once it has arrived. Replaces a
   * running transfer of the same export, which fails.
   */
  transfer(stream: StreamId): Promise<Result<ExportedCache, EngineFailure>> {
    const heldExport = this.#exports.get(stream);
    if (!this.up) return Promise.resolve(err({ kind: "notSent" }));
    if (!heldExport) return rejected("export-gone");
    clearTimeout(heldExport.expiry);
    heldExport.transfer?.abort();
    heldExport.fail?.({ kind: "rejected", code: "transfer-failed" });
    return new Promise((finish) => {
      heldExport.fail = (failure) => finish(err(failure));
      heldExport.transfer = this.link.transfer(
        heldExport.cache.sizeBytes,
        () => {
          this.#exports.delete(stream);
          finish(ok(heldExport.cache));
        },
      );
    });
  }

  /** Cancels a prefill and frees its export; a prefill that arrives later is refused. */
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
      this.#startNext();
    }
  }

  /** Returns the cache events after a sequence number that have arrived. */
  cacheEvents(after: number) {
    return this.#cache.eventsAfter(after);
  }

  heldRuns(): HeldRun[] {
    const orders = [...this.#exports.values()].map((heldExport) =>
      heldExport.order
    );
    if (this.#current) orders.push(this.#current.order);
    orders.push(...this.#queue.map((job) => job.order));
    return orders.map((order) => ({
      stream: order.stream,
      key: order.key,
      owner: order.owner,
      memoryPieces: this.#kvBlocksFor(order),
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

  #startNext(): void {
    if (this.#current || !this.up) return;
    const job = this.#queue.shift();
    if (!job) return;
    this.#current = job;
    this.#currentStartedAtMs = performance.now();
    const { blocks, tokens } = job.order.prompt;
    const cachedTokens = Math.min(
      tokens,
      this.#cache.match(blocks) * this.profile.tokensPerKvBlock,
    );
    const durationMs = this.profile.prefillBaseMs +
      (tokens - cachedTokens) * this.profile.prefillPerTokenMs;
    this.#currentTimer = setTimeout(() => {
      this.#cache.add(blocks);
      this.#storeExport(job.order);
      this.#endCurrent(ok({
        cachedTokens,
        sizeBytes: tokens * this.profile.kvBytesPerToken,
        memoryPieces: this.#kvBlocksFor(job.order),
        keptMs: this.profile.exportRetentionMs,
      }));
      this.#startNext();
    }, durationMs);
  }

  #endCurrent(result: Result<PrefillResult, EngineFailure>): void {
    const job = this.#current;
    if (!job) return;
    clearTimeout(this.#currentTimer);
    this.#current = undefined;
    this.onPrefill?.({
      stream: job.order.stream,
      spentMs: performance.now() - this.#currentStartedAtMs,
    });
    job.finish(result);
  }

  #storeExport(order: PrefillOrder): void {
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
    const heldExport = this.#exports.get(stream);
    if (!heldExport) return;
    clearTimeout(heldExport.expiry);
    heldExport.transfer?.abort();
    this.#exports.delete(stream);
    heldExport.fail?.(failure);
  }

  #kvBlocksFor(order: PrefillOrder): number {
    return Math.ceil(order.prompt.tokens / this.profile.tokensPerKvBlock);
  }
}

function rejected<T>(
  code: "leaving" | "cancelled" | "unknown-model" | "export-gone",
): Promise<Result<T, EngineFailure>> {
  return Promise.resolve(err({ kind: "rejected", code }));
}
