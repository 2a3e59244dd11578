/** The home of pool shards: reserves decode slots and names the prefill replica. */
import type { ConfigurationView } from "../configuration/task.ts";
import type { MembershipView } from "../membership/types.ts";
import type { DataCentre, GrantId, ModelName } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";
import type { GrantsHandlers } from "./app.ts";
import { reserveThenPrefill } from "./policies/reserve_then_prefill.ts";
import type { GrantPolicy } from "./policies/types.ts";
import {
  dataCentresOfOtherRegions,
  planShards,
} from "./queries/choose_shard.ts";
import { ReportPoll } from "./report_poll.ts";
import { Shard, type ShardSettings } from "./shard.ts";
import type { GrantAnswer, GrantRequest, ShardPlan } from "./types.ts";

const IDLE_LIMIT_MS = 60_000;
const RETRY_AFTER_MS = 1_000;
const VIEW_KEPT_MS = 1_000;

/** Options of {@link GrantsHome}. */
export interface GrantsHomeOptions {
  configuration: ConfigurationView;
  /** Tells which data centres are of other regions. */
  membership?: MembershipView;
  policy?: GrantPolicy;
  /** Splits a model's pool into shards. */
  planShards?: typeof planShards;
}

interface OpenShard {
  readonly shard: Shard;
  readonly poll: ReportPoll;
  plan: ShardPlan;
}

/** Owns the shards that this VM is home for. */
export class GrantsHome {
  readonly handlers: GrantsHandlers = {
    "grants/request": (request) => this.#request(request),
    "grants/progress": ({ model, grant, progress }) => ({
      known: this.#shardsOf(model).some(({ shard }) =>
        shard.applyProgress(grant, progress)
      ),
    }),
    "grants/withdraw": ({ model, key }) => ({
      known: this.#shardsOf(model).some(({ shard }) => shard.withdraw(key)),
    }),
    "grants/register": ({ grants }) => ({
      registered:
        grants.filter((held) =>
          this.#open(held.request)?.shard.register(held) ?? false
        ).length,
    }),
  };
  #context: VmContext;
  #options: GrantsHomeOptions;
  #shards = new Map<string, OpenShard>();
  #granted = 0;
  #elsewhere: { atMs: number; of: ReadonlySet<DataCentre> | undefined } = {
    atMs: Number.NEGATIVE_INFINITY,
    of: undefined,
  };
  #weights: { of: unknown; byId: Map<string, number> } = {
    of: undefined,
    byId: new Map(),
  };

  constructor(context: VmContext, options: GrantsHomeOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Refuses what waits and ends polling. */
  stop(): void {
    for (const { shard, poll } of this.#shards.values()) {
      poll.stop();
      shard.close();
    }
    this.#shards.clear();
  }

  #request(request: GrantRequest): Promise<GrantAnswer> {
    const open = this.#open(request);
    if (open) return open.shard.request(request);
    return Promise.resolve({
      kind: "refused",
      reason: "no-endpoint",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  #shardsOf(model: ModelName): OpenShard[] {
    const open: OpenShard[] = [];
    for (const one of this.#shards.values()) {
      if (one.plan.model === model) open.push(one);
    }
    return open;
  }

  #open(request: GrantRequest): OpenShard | null {
    const plan = this.#plan(request);
    if (!plan) return null;
    const known = this.#shards.get(plan.name);
    if (known) {
      this.#follow(known, plan);
      return known;
    }
    this.#closeIdle();
    const shard = new Shard({
      plan,
      policy: this.#options.policy ?? reserveThenPrefill,
      settings: () => this.#settings(),
      random: this.#context.random,
      nextGrantId: () => this.#nextGrant(),
    });
    const poll = new ReportPoll(this.#context, { shard, plan });
    const opened = { shard, poll, plan };
    this.#shards.set(plan.name, opened);
    return opened;
  }

  #follow(open: OpenShard, plan: ShardPlan): void {
    if (open.plan === plan) return;
    open.plan = plan;
    open.shard.setPlan(plan);
    open.poll.setPlan(plan);
  }

  #plan(request: GrantRequest): ShardPlan | undefined {
    const configuration = this.#options.configuration.current();
    if (!configuration) return undefined;
    const plan = this.#options.planShards ?? planShards;
    const shards = plan(configuration.bodies.endpoints, {
      model: request.model,
      excludedDataCentres: this.#dataCentresElsewhere(),
    });
    return shards.find((one) => one.name === request.shard) ?? shards[0];
  }

  #dataCentresElsewhere(): ReadonlySet<DataCentre> | undefined {
    const { membership } = this.#options;
    if (!membership) return undefined;
    const nowMs = performance.now();
    if (nowMs - this.#elsewhere.atMs > VIEW_KEPT_MS) {
      this.#elsewhere = {
        atMs: nowMs,
        of: dataCentresOfOtherRegions(membership),
      };
    }
    return this.#elsewhere.of;
  }

  #closeIdle(): void {
    const nowMs = performance.now();
    for (const [name, { shard, poll }] of this.#shards) {
      const idle = nowMs - shard.lastRequestAtMs > IDLE_LIMIT_MS &&
        shard.state.openGrantCount === 0;
      if (!idle) continue;
      poll.stop();
      shard.close();
      this.#shards.delete(name);
    }
  }

  #settings(): ShardSettings {
    const bodies = this.#options.configuration.current()?.bodies;
    if (this.#weights.of !== bodies?.workspaces) {
      this.#weights = {
        of: bodies?.workspaces,
        byId: new Map(
          (bodies?.workspaces ?? []).map((one) => [one.id, one.weight]),
        ),
      };
    }
    return {
      betweenTokensTargetMs: bodies?.deployment?.betweenTokensTargetMs ?? 28,
      prefillWasteWeight: bodies?.deployment?.prefillWasteWeight ?? 0.5,
      weightOf: (workspace) => this.#weights.byId.get(workspace) ?? 1,
    };
  }

  #nextGrant(): GrantId {
    this.#granted += 1;
    return `${this.#context.identity.incarnation}-${this.#granted}` as GrantId;
  }
}
