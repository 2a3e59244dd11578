/** Polls the load reports and cache events of one shard's replicas. */
import type { Endpoint } from "../configuration/types.ts";
import type { VmContext } from "../vm/types.ts";
import type { Shard } from "./shard.ts";
import type { ShardPlan } from "./types.ts";

const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 400;

/** Polls as long as its shard is open. */
export class ReportPoll {
  #context: VmContext;
  #shard: Shard;
  #plan: ShardPlan;
  #timer: ReturnType<typeof setInterval>;

  constructor(context: VmContext, options: { shard: Shard; plan: ShardPlan }) {
    this.#context = context;
    this.#shard = options.shard;
    this.#plan = options.plan;
    this.#timer = setInterval(() => this.#pollAll(), POLL_INTERVAL_MS);
    this.#pollAll();
  }

  /** Follows a new manifest. */
  setPlan(plan: ShardPlan): void {
    this.#plan = plan;
  }

  /** Ends polling. */
  stop(): void {
    clearInterval(this.#timer);
  }

  #pollAll(): void {
    for (const endpoint of this.#plan.prefills) {
      void this.#pollReport(endpoint);
      void this.#pollCacheEvents(endpoint);
    }
    for (const endpoint of this.#plan.decodes) void this.#pollReport(endpoint);
  }

  async #pollReport(endpoint: Endpoint): Promise<void> {
    const { engines } = this.#context.ports;
    const report = await engines.report(endpoint, {
      timeoutMs: POLL_TIMEOUT_MS,
    });
    const { state: book } = this.#shard;
    if (report.isOk()) book.applyReport(report.value, performance.now());
    else book.recordMissedPoll(endpoint.id, report.error.kind === "notSent");
    this.#shard.dispatch();
  }

  async #pollCacheEvents(endpoint: Endpoint): Promise<void> {
    const { engines } = this.#context.ports;
    const after = this.#shard.state.cacheSequence(endpoint.id);
    const events = await engines.cacheEvents(endpoint, after, {
      timeoutMs: POLL_TIMEOUT_MS,
    });
    if (events.isErr()) return;
    this.#shard.state.applyCacheEvents(endpoint.id, {
      events: events.value,
      nowMs: performance.now(),
    });
  }
}
