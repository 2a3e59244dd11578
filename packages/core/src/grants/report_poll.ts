/** Polls the load reports and cache events of one shard's replicas. */
import type { Endpoint } from "../configuration/types.ts";
import type { VmContext } from "../vm/types.ts";
import type { Shard } from "./shard.ts";
import type { ShardPlan } from "./types.ts";

const POLL_INTERVAL_MS = 500;
const POLL_TIMEOUT_MS = 400;

/**
 * Polls every replica of a shard from construction until `stop`, and dispatches
 * the shard's queue after each load report or missed poll.
 */
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

  /** Polls the replicas of a new plan from the next round on. */
  setPlan(plan: ShardPlan): void {
    this.#plan = plan;
  }

  /** Stops polling. */
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
    const { state } = this.#shard;
    if (report.isOk()) state.applyReport(report.value, performance.now());
    else state.recordMissedPoll(endpoint.id, report.error.kind === "notSent");
    this.#shard.dispatch();
  }

  async #pollCacheEvents(endpoint: Endpoint): Promise<void> {
    const { engines } = this.#context.ports;
    const lastSequence = this.#shard.state.cacheSequence(endpoint.id);
    const events = await engines.cacheEvents(endpoint, lastSequence, {
      timeoutMs: POLL_TIMEOUT_MS,
    });
    if (events.isErr()) return;
    this.#shard.state.applyCacheEvents(endpoint.id, {
      events: events.value,
      nowMs: performance.now(),
    });
  }
}
