/**
 * Serves the shards that this VM is home for. A shard's home is the VM that
 * rendezvous hashing picks for the shard's key; it reserves decode slots and
 * chooses prefill replicas for the owners of requests.
 */
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

/** A shard without open grants counts as idle this long after its last request. */
const IDLE_TIMEOUT_MS = 60_000;
/** `retryAfterMs` of a refusal when there is no configuration or the model has no endpoints. */
const RETRY_AFTER_MS = 1_000;
/** How long the data centres of other regions are cached. */
const OTHER_REGIONS_CACHE_MS = 1_000;

/** Options of {@link GrantsHome}. */
export interface GrantsHomeOptions {
  configuration: ConfigurationView;
  /** Shows which data centres are in other regions, to leave out their replicas; if absent, none are left out. */
  membership?: MembershipView;
  /** Defaults to {@link reserveThenPrefill}. */
  policy?: GrantPolicy;
  /** Splits a model's pool into shards; defaults to {@link planShards}. */
  planShards?: typeof planShards;
}

interface OpenShard {
  readonly shard: Shard;
  readonly poll: ReportPoll;
  plan: ShardPlan;
}

/**
 * Opens a shard at its first request and routes messages to the open shards.
 * Idle shards are closed when another shard is opened.
 */
export class GrantsHome {
  readonly handlers: GrantsHandlers = {
    "grants/request": (request) => this.#request(request),
    "grants/progress": ({ model, grant, progress }) => ({
      known: this.#openShardsOf(model).some(({ shard }) =>
        shard.applyProgress(grant, progress)
      ),
    }),
    "grants/withdraw": ({ model, key }) => ({
      known: this.#openShardsOf(model).some(({ shard }) => shard.withdraw(key)),
    }),
    "grants/register": ({ grants }) => ({
      registered:
        grants.filter((held) =>
          this.#findOrOpen(held.request)?.shard.register(held) ?? false
        ).length,
    }),
  };
  #context: VmContext;
  #options: GrantsHomeOptions;
  #shards = new Map<string, OpenShard>();
  /** Number of grants issued, for their ids. */
  #issued = 0;
  #otherRegions: {
    atMs: number;
    dataCentres: ReadonlySet<DataCentre> | undefined;
  } = {
    atMs: Number.NEGATIVE_INFINITY,
    dataCentres: undefined,
  };
  #workspaceWeights: { workspaces: unknown; byId: Map<string, number> } = {
    workspaces: undefined,
    byId: new Map(),
  };

  constructor(context: VmContext, options: GrantsHomeOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Closes all shards: refuses their queued requests and stops polling. */
  stop(): void {
    for (const { shard, poll } of this.#shards.values()) {
      poll.stop();
      shard.close();
    }
    this.#shards.clear();
  }

  #request(request: GrantRequest): Promise<GrantAnswer> {
    const openShard = this.#findOrOpen(request);
    if (openShard) return openShard.shard.request(request);
    return Promise.resolve({
      kind: "refused",
      reason: "no-endpoint",
      retryAfterMs: RETRY_AFTER_MS,
    });
  }

  #openShardsOf(model: ModelName): OpenShard[] {
    const openShards: OpenShard[] = [];
    for (const openShard of this.#shards.values()) {
      if (openShard.plan.model === model) openShards.push(openShard);
    }
    return openShards;
  }

  #findOrOpen(request: GrantRequest): OpenShard | null {
    const plan = this.#findPlan(request);
    if (!plan) return null;
    const existing = this.#shards.get(plan.name);
    if (existing) {
      this.#applyPlan(existing, plan);
      return existing;
    }
    this.#closeIdle();
    const shard = new Shard({
      plan,
      policy: this.#options.policy ?? reserveThenPrefill,
      settings: () => this.#settings(),
      random: this.#context.random,
      nextGrantId: () => this.#nextGrantId(),
    });
    const poll = new ReportPoll(this.#context, { shard, plan });
    const opened = { shard, poll, plan };
    this.#shards.set(plan.name, opened);
    return opened;
  }

  #applyPlan(openShard: OpenShard, plan: ShardPlan): void {
    if (openShard.plan === plan) return;
    openShard.plan = plan;
    openShard.shard.setPlan(plan);
    openShard.poll.setPlan(plan);
  }

  #findPlan(request: GrantRequest): ShardPlan | undefined {
    const configuration = this.#options.configuration.current();
    if (!configuration) return undefined;
    const createPlans = this.#options.planShards ?? planShards;
    const plans = createPlans(configuration.bodies.endpoints, {
      model: request.model,
      excludedDataCentres: this.#dataCentresOfOtherRegions(),
    });
    return plans.find((one) => one.name === request.shard) ?? plans[0];
  }

  #dataCentresOfOtherRegions(): ReadonlySet<DataCentre> | undefined {
    const { membership } = this.#options;
    if (!membership) return undefined;
    const nowMs = performance.now();
    if (nowMs - this.#otherRegions.atMs > OTHER_REGIONS_CACHE_MS) {
      this.#otherRegions = {
        atMs: nowMs,
        dataCentres: dataCentresOfOtherRegions(membership),
      };
    }
    return this.#otherRegions.dataCentres;
  }

  #closeIdle(): void {
    const nowMs = performance.now();
    for (const [name, { shard, poll }] of this.#shards) {
      const isIdle = nowMs - shard.lastRequestAtMs > IDLE_TIMEOUT_MS &&
        shard.state.openGrantCount === 0;
      if (!isIdle) continue;
      poll.stop();
      shard.close();
      this.#shards.delete(name);
    }
  }

  #settings(): ShardSettings {
    const bodies = this.#options.configuration.current()?.bodies;
    if (this.#workspaceWeights.workspaces !== bodies?.workspaces) {
      this.#workspaceWeights = {
        workspaces: bodies?.workspaces,
        byId: new Map(
          (bodies?.workspaces ?? []).map((one) => [one.id, one.weight]),
        ),
      };
    }
    return {
      betweenTokensTargetMs: bodies?.deployment?.betweenTokensTargetMs ?? 28,
      prefillWasteWeight: bodies?.deployment?.prefillWasteWeight ?? 0.5,
      weightOf: (workspace) => this.#workspaceWeights.byId.get(workspace) ?? 1,
    };
  }

  #nextGrantId(): GrantId {
    this.#issued += 1;
    return `${this.#context.identity.incarnation}-${this.#issued}` as GrantId;
  }
}
