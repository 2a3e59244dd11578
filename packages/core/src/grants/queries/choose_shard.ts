/** Splits a model's pool into shards, and orders them for one request. */
import type { Endpoint } from "../../configuration/types.ts";
import type { MembershipView } from "../../membership/types.ts";
import { rankByRendezvous } from "../../common/hash.ts";
import type { DataCentre, ModelName, RequestKey } from "../../common/ids.ts";
import type { ShardPlan } from "../types.ts";

/** Replicas that one home can scan for each grant within its time. */
export const SHARD_REPLICAS = 16;

const plans = new WeakMap<
  readonly Endpoint[],
  Map<string, readonly ShardPlan[]>
>();

/** Options of {@link planShards}. */
export interface PlanOptions {
  model: ModelName;
  /** Data centres of other regions, whose replicas are left out. */
  excludedDataCentres?: ReadonlySet<DataCentre>;
}

/** Splits a model's pool: one shard for a small pool, else shards inside each data centre. */
export function planShards(
  endpoints: readonly Endpoint[],
  options: PlanOptions,
): readonly ShardPlan[] {
  const { model, excludedDataCentres: elsewhere } = options;
  const key = elsewhere?.size
    ? [model, ...[...elsewhere].sort()].join("\n")
    : model;
  return remember(endpoints, key, () => split(endpoints, options));
}

/** Takes a model's whole pool for one shard, as VMs that decide for themselves do. */
export function planSingleShard(
  endpoints: readonly Endpoint[],
  options: PlanOptions,
): readonly ShardPlan[] {
  const { model } = options;
  return remember(endpoints, `${model}\nwhole`, () => {
    const pool = endpoints.filter((one) =>
      one.model === model && one.kind !== "service"
    );
    return pool.length === 0 ? [] : [shard(model, "all", pool)];
  });
}

/** Options of {@link chooseShards}. */
export interface ChooseOptions extends PlanOptions {
  /** The owner's own data centre, whose shards are asked first. */
  dataCentre: DataCentre;
  key: RequestKey;
}

/** Gives the shards of a model in the order in which an owner asks them while they refuse for lack of room. */
export function chooseShards(
  endpoints: readonly Endpoint[],
  options: ChooseOptions,
): readonly ShardPlan[] {
  const shards = planShards(endpoints, options);
  if (shards.length < 2) return shards;
  const names = rankByRendezvous(
    options.key,
    shards.map((shard) => shard.name),
  );
  const ranked = names.map((name) =>
    shards.find((shard) => shard.name === name)!
  );
  const near = (shard: ShardPlan) =>
    shard.decodes.some((one) => one.dataCentre === options.dataCentre);
  return [...ranked.filter(near), ...ranked.filter((one) => !near(one))];
}

/** The key whose home grants a shard's slots. */
export function shardHomeKey(shard: ShardPlan): string {
  return `shard/${shard.name}`;
}

function remember(
  endpoints: readonly Endpoint[],
  key: string,
  create: () => readonly ShardPlan[],
): readonly ShardPlan[] {
  let known = plans.get(endpoints);
  if (!known) plans.set(endpoints, known = new Map());
  let plan = known.get(key);
  if (!plan) known.set(key, plan = create());
  return plan;
}

function split(
  endpoints: readonly Endpoint[],
  options: PlanOptions,
): ShardPlan[] {
  const { model, excludedDataCentres: elsewhere } = options;
  const pool = endpoints
    .filter((one) =>
      one.model === model && one.kind !== "service" &&
      !elsewhere?.has(one.dataCentre)
    )
    .sort((a, b) => a.id < b.id ? -1 : 1);
  if (pool.length === 0) return [];
  if (pool.length <= SHARD_REPLICAS) return [shard(model, "all", pool)];
  return groupByDataCentre(pool).flatMap(({ name, replicas }) =>
    cut(replicas).map((part, at) => shard(model, `${name}.${at}`, part))
  );
}

interface Group {
  readonly name: string;
  readonly replicas: readonly Endpoint[];
}

/** Groups replicas by data centre; those that lack a role are put together. */
function groupByDataCentre(pool: readonly Endpoint[]): Group[] {
  const names = [...new Set(pool.map((one) => one.dataCentre))].sort();
  const groups = names.map((name): Group => ({
    name,
    replicas: pool.filter((one) => one.dataCentre === name),
  }));
  const whole = groups.filter(hasBothRoles);
  const rest = groups.filter((group) => !hasBothRoles(group));
  if (rest.length === 0) return whole;
  const mixed: Group = {
    name: "mixed",
    replicas: rest.flatMap((group) => group.replicas),
  };
  if (hasBothRoles(mixed)) return [...whole, mixed];
  const [first, ...others] = whole;
  const joined: Group = {
    name: first?.name ?? "mixed",
    replicas: [...first?.replicas ?? [], ...mixed.replicas],
  };
  return [joined, ...others];
}

function hasBothRoles({ replicas }: Group): boolean {
  return replicas.some((one) => one.kind === "prefill") &&
    replicas.some((one) => one.kind === "decode");
}

/** Cuts a group into parts of both roles in proportion, none much larger than a shard may be. */
function cut(replicas: readonly Endpoint[]): Endpoint[][] {
  const prefills = replicas.filter((one) => one.kind === "prefill");
  const decodes = replicas.filter((one) => one.kind === "decode");
  const wanted = Math.ceil(replicas.length / SHARD_REPLICAS);
  const count = Math.max(
    1,
    Math.min(wanted, prefills.length, decodes.length),
  );
  return Array.from({ length: count }, (_, part) => [
    ...prefills.filter((_one, at) => at % count === part),
    ...decodes.filter((_one, at) => at % count === part),
  ]);
}

function shard(
  model: ModelName,
  name: string,
  replicas: readonly Endpoint[],
): ShardPlan {
  return {
    name: `${model}/${name}`,
    model,
    prefills: replicas.filter((one) => one.kind === "prefill"),
    decodes: replicas.filter((one) => one.kind === "decode"),
  };
}

/** The data centres that a VM's view places in other regions. */
export function dataCentresOfOtherRegions(
  membership: MembershipView,
): ReadonlySet<DataCentre> {
  const { region } = membership.self;
  return new Set(
    membership.members()
      .filter((member) => member.region !== region)
      .map((member) => member.dataCentre),
  );
}
