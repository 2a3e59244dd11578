/** Brings the engines of the shards that this VM is home for to what the manifest wants. */
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
/** How often the engines are looked at when nothing was found to do. */
const IDLE_INTERVAL_MS = 15_000;
/** How long after a change or an order the engines are looked at on every tick. */
const WATCH_MS = 30_000;
const REPORT_TIMEOUT_MS = 1_000;
const MS_PER_MINUTE = 60_000;

/** Parts that a test can leave out. */
export interface OrdersPolicies {
  /** Checks that the lease outlasts the order, directly before it is sent. */
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
  /** The fencing number that all engines that check it have been told. */
  announced: number;
  busy: boolean;
  lookedAtMs: number;
  watchUntilMs: number;
  /** When the weight store may be asked for the next load. */
  nextLoadAtMs: number;
  /** Until when an order whose reply was lost may still take effect. */
  uncertainUntilMs: number;
  /** When each engine was last ordered; older reports don't show the order. */
  readonly orderedAtMs: Map<EndpointId, number>;
}

/** Owns the orders to engines that this VM gives. */
export class OrdersTask implements VmTask {
  #context: VmContext;
  #options: OrdersTaskOptions;
  #policies: OrdersPolicies;
  #shards = new Map<ModelName, Shard>();
  #timer: ReturnType<typeof setInterval> | undefined;
  #unlisten: (() => void) | undefined;

  constructor(context: VmContext, options: OrdersTaskOptions) {
    this.#context = context;
    this.#options = options;
    this.#policies = { ...DEFAULT_POLICIES, ...options.policies };
  }

  start(): void {
    this.#timer = setInterval(() => this.#tick(), TICK_MS);
    this.#unlisten = this.#options.configuration.onChange(() => {
      for (const shard of this.#shards.values()) watch(shard);
    });
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#unlisten?.();
  }

  #tick(): void {
    const bodies = this.#options.configuration.current()?.bodies;
    if (!bodies) return;
    const { self, homeOf } = this.#bound();
    for (const model of modelsOf(bodies.endpoints)) {
      const shard = this.#shards.get(model);
      if (homeOf(`orders/${model}`).id !== self.id) {
        if (shard && !shard.busy) this.#leave(shard);
        continue;
      }
      const mine = shard ?? this.#createShard(model);
      const nowMs = performance.now();
      const isDue = nowMs < mine.watchUntilMs ||
        nowMs - mine.lookedAtMs >= IDLE_INTERVAL_MS;
      if (mine.busy || !isDue) continue;
      mine.busy = true;
      mine.lookedAtMs = nowMs;
      void this.#reconcile(mine, bodies).finally(() => (mine.busy = false));
    }
  }

  async #reconcile(
    shard: Shard,
    bodies: { deployment: Deployment; endpoints: readonly Endpoint[] },
  ): Promise<void> {
    const inManifest = bodies.endpoints.filter((endpoint) =>
      endpoint.kind !== "service"
    );
    const own = inManifest.filter((one) => one.model === shard.model);
    const engines = await this.#readReports(own, shard);
    const differs = engines.some((engine) => findNeededOrder(engine) !== null);
    if (!differs) return this.#finish(shard);
    watch(shard);
    shard.lease.acquire();
    if (!shard.lease.held) return;
    if (!await this.#announce(shard, own)) return;
    const others = await this.#readReports(
      inManifest.filter((one) => one.model !== shard.model),
      shard,
    );
    const { orders } = planShard(engines, others);
    // One order at a time: the next look sees what it did to the others' replicas.
    const [next] = orders.filter((order) => this.#mayLoad(shard, order));
    if (!next) return;
    const models = modelsOf(inManifest).length;
    if (next.loads) {
      const perMinute = bodies.deployment.modelLoadsPerMinute / models;
      shard.nextLoadAtMs = performance.now() + MS_PER_MINUTE / perMinute;
    }
    await this.#send(shard, next);
  }

  /** Tells engines that check it the fencing number before the first order, so that older ones are refused. */
  async #announce(
    shard: Shard,
    endpoints: readonly Endpoint[],
  ): Promise<boolean> {
    const { fencingNumber } = shard.lease.held!;
    if (shard.announced === fencingNumber) return true;
    const checking = endpoints.filter((endpoint) => endpoint.checksFencing);
    const told = await Promise.all(
      checking.map((endpoint) =>
        this.#order(shard, { endpoint, state: {}, loads: false })
      ),
    );
    if (told.includes("not-sent")) return false;
    shard.announced = fencingNumber;
    // What an older order did just before shows in later reports only.
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
    // Nothing may come between this check and the sending of the order.
    const leftMs = held.endsAtMs - performance.now();
    if (this.#policies.checksLease && leftMs < ORDER_TIMEOUT_MS) {
      return "not-sent";
    }
    const sent = await this.#context.ports.engines.order(
      endpoint,
      { ...state, fencingNumber: held.fencingNumber },
      { timeoutMs: ORDER_TIMEOUT_MS, fresh: true },
    );
    if (sent.isOk()) return "done";
    const { error } = sent;
    if (error.kind === "rejected") {
      if (error.code === "fenced") shard.lease.markFenced();
      return error.code === "fenced" ? "fenced" : "failed";
    }
    if (error.kind !== "notSent") {
      shard.uncertainUntilMs = performance.now() + ORDER_TIMEOUT_MS;
    }
    return "failed";
  }

  /** Another VM is home now; should this one be again, it looks at once. */
  #leave(shard: Shard): void {
    shard.lookedAtMs = -Infinity;
    this.#finish(shard);
  }

  /** Gives the lease back, once no order of it can take effect any more. */
  #finish(shard: Shard): void {
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
      announced: 0,
      busy: false,
      lookedAtMs: -Infinity,
      watchUntilMs: 0,
      nextLoadAtMs: 0,
      uncertainUntilMs: 0,
      orderedAtMs: new Map(),
    };
    this.#shards.set(model, shard);
    return shard;
  }

  #bound() {
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
