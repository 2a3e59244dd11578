/** A planner that knows every length and arrival beforehand: the ceiling of goodput. */
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
  /** Requests that are planned; the others of the run are left out. */
  isEligible: (item: WorkItem) => boolean;
  /** Requests that are counted once planned. */
  isMeasured: (item: WorkItem) => boolean;
}

/**
 * Counts how many requests could be in time.
 *
 * Takes the cheapest requests first while each resource of the whole pool has room. It lets work be
 * split over replicas and moved inside its time, knows all lengths, and loses no time to orders.
 */
export function computeCeiling(
  items: readonly WorkItem[],
  options: CeilingOptions,
): number {
  const { deployment } = options;
  const { profile: figures } = deployment;
  const { stepMs } = fullBatch(deployment);
  const capacity = computeCapacity(deployment);
  const timeline = new Timeline(capacity, lastEndMs(items, stepMs));
  const ordered = items
    .filter(options.isEligible)
    .map((item) => ({ item, need: computeDemand(item, { figures, stepMs }) }))
    .sort((a, b) => cost(a.need, capacity) - cost(b.need, capacity));
  let served = 0;
  for (const { item, need } of ordered) {
    const taken = timeline.take(item, need);
    if (taken && options.isMeasured(item)) served += 1;
  }
  return served;
}

function cost(need: ResourceDemand, capacity: ResourceDemand): number {
  return Math.max(...RESOURCES.map((one) => need[one] / capacity[one]));
}

function lastEndMs(items: readonly WorkItem[], stepMs: number): number {
  return items.reduce(
    (last, item) =>
      Math.max(last, item.arrivesAtMs + item.outputTokens * stepMs),
    0,
  ) + 2 * FIRST_TOKEN_TARGET_MS;
}

/** What is left of each resource, in buckets of time. */
class Timeline {
  #left: Record<keyof ResourceDemand, Float64Array>;

  constructor(capacity: ResourceDemand, lastMs: number) {
    const count = Math.ceil(lastMs / BUCKET_MS) + 2;
    const full = (one: keyof ResourceDemand) =>
      new Float64Array(count).fill(capacity[one] * BUCKET_MS);
    this.#left = {
      slotMs: full("slotMs"),
      pieceMs: full("pieceMs"),
      prefillMs: full("prefillMs"),
      linkMs: full("linkMs"),
    };
  }

  take(item: WorkItem, need: ResourceDemand): boolean {
    const from = Math.floor(item.arrivesAtMs / BUCKET_MS);
    const due = from + Math.floor(FIRST_TOKEN_TARGET_MS / BUCKET_MS);
    const serviceMs = need.prefillMs + need.linkMs;
    const latest = Math.max(
      from,
      Math.floor(
        (item.arrivesAtMs + FIRST_TOKEN_TARGET_MS - serviceMs) / BUCKET_MS,
      ),
    );
    if (!this.#fitsAnywhere("prefillMs", { from, to: due, need })) return false;
    if (!this.#fitsAnywhere("linkMs", { from, to: due, need })) return false;
    for (let start = from; start <= latest; start += 1) {
      if (!this.#stays(start, need)) continue;
      this.#stay(start, need);
      this.#spend("prefillMs", { from, to: due, need });
      this.#spend("linkMs", { from, to: due, need });
      return true;
    }
    return false;
  }

  #fitsAnywhere(
    one: "prefillMs" | "linkMs",
    at: { from: number; to: number; need: ResourceDemand },
  ): boolean {
    let left = 0;
    for (let bucket = at.from; bucket <= at.to; bucket += 1) {
      left += this.#left[one][bucket] ?? 0;
    }
    return left >= at.need[one];
  }

  #spend(
    one: "prefillMs" | "linkMs",
    at: { from: number; to: number; need: ResourceDemand },
  ): void {
    let wanted = at.need[one];
    const left = this.#left[one];
    for (let bucket = at.from; bucket <= at.to && wanted > 0; bucket += 1) {
      const taken = Math.min(wanted, left[bucket] ?? 0);
      left[bucket]! -= taken;
      wanted -= taken;
    }
  }

  #stays(start: number, need: ResourceDemand): boolean {
    const pieces = need.pieceMs / need.slotMs;
    for (const { bucket, ms } of buckets(start, need.slotMs)) {
      if ((this.#left.slotMs[bucket] ?? 0) < ms) return false;
      if ((this.#left.pieceMs[bucket] ?? 0) < ms * pieces) return false;
    }
    return true;
  }

  #stay(start: number, need: ResourceDemand): void {
    const pieces = need.pieceMs / need.slotMs;
    for (const { bucket, ms } of buckets(start, need.slotMs)) {
      this.#left.slotMs[bucket]! -= ms;
      this.#left.pieceMs[bucket]! -= ms * pieces;
    }
  }
}

function* buckets(
  start: number,
  lengthMs: number,
): Generator<{ bucket: number; ms: number }> {
  let leftMs = lengthMs;
  for (let bucket = start; leftMs > 0; bucket += 1) {
    yield { bucket, ms: Math.min(BUCKET_MS, leftMs) };
    leftMs -= BUCKET_MS;
  }
}
