/**
 * Gives engines the orders that bring them to the state in the manifest. The engines
 * of a model are a shard; its home, the VM that rendezvous hashing picks for its key,
 * gives the orders, and only while it holds the shard's lease.
 */
import type { ConfigurationTask } from "../configuration/task.ts";
import type { Deployment, Endpoint } from "../configuration/types.ts";
import type { MembershipView } from "../membership/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import type { EndpointId, ModelName } from "../common/ids.ts";
import type { VmContext, VmTask } from "../vm/types.ts";
import { ShardLease } from "./lease.ts";
import {
  findNeededOrder,
  type PlannedOrder,
  planShard,
  type ReportedEngine,
} from "./plan.ts";
import { ORDER_TIMEOUT_MS } from "./types.ts";

const TICK_MS = 1_000;
/** Time between checks of the engines while they match the manifest. */
const IDLE_INTERVAL_MS = 15_000;
/**
 * How long the engines are checked on every tick after a configuration change or
 * after a check that found a difference.
 */
const WATCH_MS = 30_000;
const REPORT_TIMEOUT_MS = 1_000;
const MS_PER_MINUTE = 60_000;

/** Checks that a test can leave out. */
export interface OrdersPolicies {
  /** Checks, directly before an order is sent, that the lease outlasts the order. */
  checksLease: boolean;
}

const DEFAULT_POLICIES: OrdersPolicies = { checksLease: true };

/** Options of {@link OrdersTask}. */
export interface OrdersTaskOptions {
  configuration: Pick<ConfigurationTask, "current" | "onChange">;
  membership: MembershipView;
  policies?: Partial<OrdersPolicies>;
}

interface Shard {
  readonly model: ModelName;
  readonly lease: ShardLease;
  /** The fencing number last sent to all engines that check it. */
  announcedFencingNumber: number;
  busy: boolean;
  checkedAtMs: number;
  /** Until when the shard is checked on every tick. */
  watchUntilMs: number;
  /** When the next load from the weight store may start. */
  nextLoadAtMs: number;
  /** Until when an order whose reply was lost may still take effect. */
  uncertainUntilMs: number;
  /** When each engine was last sent an order; older reports don't show its effect. */
  readonly orderedAtMs: Map<EndpointId, number>;
}

/** Gives the orders to the engines of the shards whose home is this VM. */
export class OrdersTask implements VmTask {
  #context: VmContext;
  #options: OrdersTaskOptions;
  #policies: OrdersPolicies;
  #shards = new Map<ModelName, Shard>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #removeListener: (() => void) | undefined;

  constructor(context: VmContext, options: OrdersTaskOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...DEFAULT_POLICIES, ...options.policies };
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#removeListener = this.#options.configuration.onChange(() => {
      for (const shard of this.#shards.values()) watch(shard);
    });
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#removeListener?.();
  }

  #tick(): void {
    const bodies = this.#options.configuration.current()?.bodies;
    if (!bodies) return;
    const { self, homeOf } = this.#boundMembership();
    for (const model of modelsOf(bodies.endpoints)) {
      const shard = this.#shards.get(model);
      if (homeOf(`orders/${model}`).id !== self.id) {
        if (shard && !shard.busy) this.#stepDown(shard);
        continue;
      }
      const ownShard = shard ?? this.#createShard(model);
      const nowMs = performance.now();
      const isDue = nowMs < ownShard.watchUntilMs ||
        nowMs - ownShard.checkedAtMs >= IDLE_INTERVAL_MS;
      if (ownShard.busy || !isDue) continue;
      ownShard.busy = true;
      ownShard.checkedAtMs = nowMs;
      void this.#reconcile(ownShard, bodies).finally(
        () => (ownShard.busy = false),
      );
    }
  }

  async #reconcile(
    shard: Shard,
    bodies: { deployment: Deployment; endpoints: readonly Endpoint[] },
  ): Promise<void> {
    const inManifest = bodies.endpoints.filter((endpoint) =>
      endpoint.kind !== "service"
    );
    const ownEndpoints = inManifest.filter((endpoint) =>
      endpoint.model === shard.model
    );
    const engines = await this.#readReports(ownEndpoints, shard);
    const differs = engines.some((engine) => findNeededOrder(engine) !== null);
    if (!differs) return this.#releaseLease(shard);
    watch(shard);
    shard.lease.acquire();
    if (!shard.lease.held) return;
    if (!await this.#announceFencingNumber(shard, ownEndpoints)) return;
    const others = await this.#readReports(
      inManifest.filter((endpoint) => endpoint.model !== shard.model),
      shard,
    );
    const { orders } = planShard(engines, others);
    // One order at a time: the next check sees its effect on the replicas of all
    // models.
    const [next] = orders.filter((order) => this.#mayLoad(shard, order));
    if (!next) return;
    const modelCount = modelsOf(inManifest).length;
    if (next.loads) {
      const perMinute = bodies.deployment.modelLoadsPerMinute / modelCount;
      shard.nextLoadAtMs = performance.now() + MS_PER_MINUTE / perMinute;
    }
    await this.#send(shard, next);
  }

  /**
   * Before the first order under a lease, sends its fencing number to the engines that
   * check it, so that they refuse older orders. Returns true if that was done earlier.
   */
  async #announceFencingNumber(
    shard: Shard,
    endpoints: readonly Endpoint[],
  ): Promise<boolean> {
    const { fencingNumber } = shard.lease.held!;
    if (shard.announcedFencingNumber === fencingNumber) return true;
    const checking = endpoints.filter((endpoint) => endpoint.checksFencing);
    const outcomes = await Promise.all(
      checking.map((endpoint) =>
        this.#order(shard, { endpoint, state: {}, loads: false })
      ),
    );
    if (outcomes.includes("not-sent")) return false;
    shard.announcedFencingNumber = fencingNumber;
    // An older order may have taken effect just before; only later reports show that.
    return false;
  }

  async #send(shard: Shard, planned: PlannedOrder): Promise<void> {
    const { endpoint } = planned;
    shard.orderedAtMs.set(endpoint.id, performance.now());
    const outcome = await this.#order(shard, planned);
    this.#context.observer.count("orders", outcome);
    this.#context.observer.log({
      event: "engine-order",
      endpoint: endpoint.id,
      model: endpoint.model,
      role: endpoint.kind,
      outcome,
    });
  }

  async #order(
    shard: Shard,
    planned: PlannedOrder,
  ): Promise<"done" | "not-sent" | "fenced" | "failed"> {
    const { held } = shard.lease;
    if (!held) return "not-sent";
    const { endpoint, state } = planned;
    // No await may come between this check and the sending of the order.
    const leftMs = held.endsAtMs - performance.now();
    if (this.#policies.checksLease && leftMs < ORDER_TIMEOUT_MS) {
      return "not-sent";
    }
    const result = await this.#context.ports.engines.order(
      endpoint,
      { ...state, fencingNumber: held.fencingNumber },
      { timeoutMs: ORDER_TIMEOUT_MS, fresh: true },
    );
    if (result.isOk()) return "done";
    const { error } = result;
    if (error.kind === "rejected") {
      if (error.code === "fenced") shard.lease.markLost();
      return error.code === "fenced" ? "fenced" : "failed";
    }
    if (error.kind !== "notSent") {
      shard.uncertainUntilMs = performance.now() + ORDER_TIMEOUT_MS;
    }
    return "failed";
  }

  /**
   * Another VM is the home now. If this VM becomes the home again, it checks at
   * once.
   */
  #stepDown(shard: Shard): void {
    shard.checkedAtMs = -Infinity;
    this.#releaseLease(shard);
  }

  /** Releases the lease, once no order given under it can take effect any more. */
  #releaseLease(shard: Shard): void {
    if (performance.now() < shard.uncertainUntilMs) return;
    if (shard.lease.held) shard.lease.release();
  }

  #mayLoad(shard: Shard, order: PlannedOrder): boolean {
    return !order.loads || performance.now() >= shard.nextLoadAtMs;
  }

  async #readReports(
    endpoints: readonly Endpoint[],
    shard: Shard,
  ): Promise<ReportedEngine[]> {
    return await Promise.all(endpoints.map(async (endpoint) => {
      const answer = await this.#context.ports.engines.report(endpoint, {
        timeoutMs: REPORT_TIMEOUT_MS,
      });
      const report = answer.unwrapOr(null);
      const isFresh = report && showsLastOrder(shard, { endpoint, report });
      return { endpoint, report: isFresh ? report : null };
    }));
  }

  #createShard(model: ModelName): Shard {
    const shard: Shard = {
      model,
      lease: new ShardLease(this.#context, model),
      announcedFencingNumber: 0,
      busy: false,
      checkedAtMs: -Infinity,
      watchUntilMs: 0,
      nextLoadAtMs: 0,
      uncertainUntilMs: 0,
      orderedAtMs: new Map(),
    };
    this.#shards.set(model, shard);
    return shard;
  }

  #boundMembership() {
    const { membership } = this.#options;
    return {
      self: membership.self,
      homeOf: (key: string) => membership.homeOf(key),
    };
  }
}

function watch(shard: Shard): void {
  shard.watchUntilMs = performance.now() + WATCH_MS;
}

function showsLastOrder(
  shard: Shard,
  options: { endpoint: Endpoint; report: LoadReport },
): boolean {
  const orderedAtMs = shard.orderedAtMs.get(options.endpoint.id) ?? -Infinity;
  return performance.now() - options.report.ageMs > orderedAtMs;
}

function modelsOf(endpoints: readonly Endpoint[]): ModelName[] {
  const models = endpoints.flatMap((endpoint) => endpoint.model ?? []);
  return [...new Set(models)].sort();
}
