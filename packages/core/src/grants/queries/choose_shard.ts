/** Splits a model's pool of replicas into shards, and orders the shards for one request. */
import type { Endpoint } from "../../configuration/types.ts";
import type { MembershipView } from "../../membership/types.ts";
import { rankByRendezvous } from "../../common/hash.ts";
import type { DataCentre, ModelName, RequestKey } from "../../common/ids.ts";
import type { ShardPlan } from "../types.ts";

/**
 * Target size of a shard: the number of replicas that one home can scan for
 * each grant in the time available.
 */
export const SHARD_REPLICAS = 16;

/**
 * Plans by list of endpoints, compared by identity, and then by model and
 * excluded data centres.
 */
const planCache = new WeakMap<
  readonly Endpoint[],
  Map<string, readonly ShardPlan[]>
>();

/** Options of {@link planShards}. */
export interface PlanOptions {
  model: ModelName;
  /** Data centres whose replicas are left out, as they are in other regions. */
  excludedDataCentres?: ReadonlySet<DataCentre>;
}

/**
 * Splits a model's pool: a small pool becomes one shard, a larger one is split
 * within each data centre. Empty if the pool is.
 */
export function planShards(
  endpoints: readonly Endpoint[],
  options: PlanOptions,
): readonly ShardPlan[] {
  const { model, excludedDataCentres } = options;
  const key = excludedDataCentres?.size
    ? [model, ...[...excludedDataCentres].sort()].join("\n")
    : model;
  return memoize(endpoints, key, () => splitPool(endpoints, options));
}

/** Makes a model's whole pool one shard, for VMs that each place requests on their own. */
export function planSingleShard(
  endpoints: readonly Endpoint[],
  options: PlanOptions,
): readonly ShardPlan[] {
  const { model } = options;
  return memoize(endpoints, `${model}\nwhole`, () => {
    const pool = endpoints.filter((one) =>
      one.model === model && one.kind !== "service"
    );
    return pool.length === 0 ? [] : [createShard(model, "all", pool)];
  });
}

/** Options of {@link chooseShards}. */
export interface ChooseOptions extends PlanOptions {
  /** The owner's own data centre, whose shards come first. */
  dataCentre: DataCentre;
  /** Key of the request, which ranks the shards by rendezvous hashing. */
  key: RequestKey;
}

/**
 * Returns the shards of a model in the order in which an owner tries them while
 * they refuse for lack of capacity.
 */
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
  const isLocal = (shard: ShardPlan) =>
    shard.decodes.some((one) => one.dataCentre === options.dataCentre);
  return [...ranked.filter(isLocal), ...ranked.filter((one) => !isLocal(one))];
}

/** Returns the key that rendezvous hashing maps to a shard's home. */
export function shardHomeKey(shard: ShardPlan): string {
  return `shard/${shard.name}`;
}

function memoize(
  endpoints: readonly Endpoint[],
  key: string,
  create: () => readonly ShardPlan[],
): readonly ShardPlan[] {
  let plansByKey = planCache.get(endpoints);
  if (!plansByKey) planCache.set(endpoints, plansByKey = new Map());
  let shards = plansByKey.get(key);
  if (!shards) plansByKey.set(key, shards = create());
  return shards;
}

function splitPool(
  endpoints: readonly Endpoint[],
  options: PlanOptions,
): ShardPlan[] {
  const { model, excludedDataCentres } = options;
  const pool = endpoints
    .filter((one) =>
      one.model === model && one.kind !== "service" &&
      !excludedDataCentres?.has(one.dataCentre)
    )
    .sort((a, b) => a.id < b.id ? -1 : 1);
  if (pool.length === 0) return [];
  if (pool.length <= SHARD_REPLICAS) return [createShard(model, "all", pool)];
  return groupByDataCentre(pool).flatMap(({ name, replicas }) =>
    splitGroup(replicas).map((part, index) =>
      createShard(model, `${name}.${index}`, part)
    )
  );
}

interface Group {
  readonly name: string;
  readonly replicas: readonly Endpoint[];
}

/**
 * Groups replicas by data centre. Data centres that lack prefill or decode
 * replicas form one group; if that lacks a role too, it joins the first
 * complete group.
 */
function groupByDataCentre(pool: readonly Endpoint[]): Group[] {
  const names = [...new Set(pool.map((one) => one.dataCentre))].sort();
  const groups = names.map((name): Group => ({
    name,
    replicas: pool.filter((one) => one.dataCentre === name),
  }));
  const complete = groups.filter(hasBothRoles);
  const incomplete = groups.filter((group) => !hasBothRoles(group));
  if (incomplete.length === 0) return complete;
  const mixed: Group = {
    name: "mixed",
    replicas: incomplete.flatMap((group) => group.replicas),
  };
  if (hasBothRoles(mixed)) return [...complete, mixed];
  const [firstGroup, ...otherGroups] = complete;
  const joined: Group = {
    name: firstGroup?.name ?? "mixed",
    replicas: [...firstGroup?.replicas ?? [], ...mixed.replicas],
  };
  return [joined, ...otherGroups];
}

function hasBothRoles({ replicas }: Group): boolean {
  return replicas.some((one) => one.kind === "prefill") &&
    replicas.some((one) => one.kind === "decode");
}

/**
 * Splits a group into about equal parts with the roles in proportion, each with
 * both roles if the group has them; parts exceed SHARD_REPLICAS by more than
 * rounding only where a role is scarce.
 */
function splitGroup(replicas: readonly Endpoint[]): Endpoint[][] {
  const prefills = replicas.filter((one) => one.kind === "prefill");
  const decodes = replicas.filter((one) => one.kind === "decode");
  const wantedParts = Math.ceil(replicas.length / SHARD_REPLICAS);
  const partCount = Math.max(
    1,
    Math.min(wantedParts, prefills.length, decodes.length),
  );
  return Array.from({ length: partCount }, (_, part) => [
    ...prefills.filter((_one, index) => index % partCount === part),
    ...decodes.filter((_one, index) => index % partCount === part),
  ]);
}

function createShard(
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

/** Returns the data centres of other regions, by the VM's local view of the membership. */
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
