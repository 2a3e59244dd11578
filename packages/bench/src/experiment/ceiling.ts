/** Upper bound of goodput: an offline planner that knows all arrivals and output lengths in advance. */
import {
  type ExperimentDeployment,
  FIRST_TOKEN_TARGET_MS,
} from "./deployments.ts";
import {
  computeCapacity,
  computeDemand,
  fullBatch,
  type ResourceDemand,
  RESOURCES,
} from "./load.ts";
import type { WorkItem } from "./workload.ts";

const BUCKET_MS = 100;

/** Options of {@link computeCeiling}. */
export interface CeilingOptions {
  deployment: ExperimentDeployment;
  /** Selects the requests to plan; all others are ignored. */
  isEligible: (item: WorkItem) => boolean;
  /** Selects the planned requests that count towards the result. */
  isMeasured: (item: WorkItem) => boolean;
}

/**
 * Counts how many measured requests could meet their targets.
 *
 * Plans the cheapest requests first while the pooled resources have free capacity. The plan is
 * optimistic: work may be split over replicas and moved within its time limit, all lengths are
 * known, and messages to the engines take no time.
 */
export function computeCeiling(
  items: readonly WorkItem[],
  options: CeilingOptions,
): number {
  const { deployment } = options;
  const { profile } = deployment;
  const { stepMs } = fullBatch(deployment);
  const capacity = computeCapacity(deployment);
  const timeline = new Timeline(capacity, lastEndMs(items, stepMs));
  const ordered = items
    .filter(options.isEligible)
    .map((item) => ({ item, demand: computeDemand(item, { profile, stepMs }) }))
    .sort((a, b) =>
      scarcestShare(a.demand, capacity) - scarcestShare(b.demand, capacity)
    );
  let count = 0;
  for (const { item, demand } of ordered) {
    const taken = timeline.reserve(item, demand);
    if (taken && options.isMeasured(item)) count += 1;
  }
  return count;
}

/** A request's largest demand for any resource, relative to the capacity per millisecond. */
function scarcestShare(
  demand: ResourceDemand,
  capacity: ResourceDemand,
): number {
  return Math.max(
    ...RESOURCES.map((resource) => demand[resource] / capacity[resource]),
  );
}

function lastEndMs(items: readonly WorkItem[], stepMs: number): number {
  return items.reduce(
    (last, item) =>
      Math.max(last, item.arrivesAtMs + item.outputTokens * stepMs),
    0,
  ) + 2 * FIRST_TOKEN_TARGET_MS;
}

/** Free capacity of each resource, per time bucket. */
class Timeline {
  #free: Record<keyof ResourceDemand, Float64Array>;

  constructor(capacity: ResourceDemand, lastMs: number) {
    const count = Math.ceil(lastMs / BUCKET_MS) + 2;
    const fullBuckets = (resource: keyof ResourceDemand) =>
      new Float64Array(count).fill(capacity[resource] * BUCKET_MS);
    this.#free = {
      slotMs: fullBuckets("slotMs"),
      kvBlockMs: fullBuckets("kvBlockMs"),
      prefillMs: fullBuckets("prefillMs"),
      linkMs: fullBuckets("linkMs"),
    };
  }

  reserve(item: WorkItem, demand: ResourceDemand): boolean {
    const from = Math.floor(item.arrivesAtMs / BUCKET_MS);
    const end = from + Math.floor(FIRST_TOKEN_TARGET_MS / BUCKET_MS);
    const serviceMs = demand.prefillMs + demand.linkMs;
    const lastStart = Math.max(
      from,
      Math.floor(
        (item.arrivesAtMs + FIRST_TOKEN_TARGET_MS - serviceMs) / BUCKET_MS,
      ),
    );
    if (!this.#canFit("prefillMs", { from, to: end, demand })) return false;
    if (!this.#canFit("linkMs", { from, to: end, demand })) return false;
    for (let start = from; start <= lastStart; start += 1) {
      if (!this.#hasDecodeCapacity(start, demand)) continue;
      this.#reserveDecode(start, demand);
      this.#consume("prefillMs", { from, to: end, demand });
      this.#consume("linkMs", { from, to: end, demand });
      return true;
    }
    return false;
  }

  #canFit(
    resource: "prefillMs" | "linkMs",
    span: { from: number; to: number; demand: ResourceDemand },
  ): boolean {
    let free = 0;
    for (let bucket = span.from; bucket <= span.to; bucket += 1) {
      free += this.#free[resource][bucket] ?? 0;
    }
    return free >= span.demand[resource];
  }

  #consume(
    resource: "prefillMs" | "linkMs",
    span: { from: number; to: number; demand: ResourceDemand },
  ): void {
    let remaining = span.demand[resource];
    const free = this.#free[resource];
    for (
      let bucket = span.from;
      bucket <= span.to && remaining > 0;
      bucket += 1
    ) {
      const taken = Math.min(remaining, free[bucket] ?? 0);
      free[bucket]! -= taken;
      remaining -= taken;
    }
  }

  #hasDecodeCapacity(start: number, demand: ResourceDemand): boolean {
    const kvBlocks = demand.kvBlockMs / demand.slotMs;
    for (const { bucket, ms } of buckets(start, demand.slotMs)) {
      if ((this.#free.slotMs[bucket] ?? 0) < ms) return false;
      if ((this.#free.kvBlockMs[bucket] ?? 0) < ms * kvBlocks) return false;
    }
    return true;
  }

  #reserveDecode(start: number, demand: ResourceDemand): void {
    const kvBlocks = demand.kvBlockMs / demand.slotMs;
    for (const { bucket, ms } of buckets(start, demand.slotMs)) {
      this.#free.slotMs[bucket]! -= ms;
      this.#free.kvBlockMs[bucket]! -= ms * kvBlocks;
    }
  }
}

function* buckets(
  start: number,
  lengthMs: number,
): Generator<{ bucket: number; ms: number }> {
  let remainingMs = lengthMs;
  for (let bucket = start; remainingMs > 0; bucket += 1) {
    yield { bucket, ms: Math.min(BUCKET_MS, remainingMs) };
    remainingMs -= BUCKET_MS;
  }
}
