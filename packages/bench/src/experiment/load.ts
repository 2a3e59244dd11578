/** Defines load 1.0: the arrival rate at which the scarcest of four resources is fully used. */
import type { EngineProfile } from "@teaselvalve/fakes";
import {
  type ExperimentDeployment,
  FIRST_TOKEN_TARGET_MS,
} from "./deployments.ts";
import { RequestGenerator, type RequestSize } from "./workload.ts";

const SAMPLES = 100_000;
const SAMPLE_SEED = 20_261;
/** Total latency of the messages between caller, peers and engines until the first token arrives. */
const MESSAGE_LATENCY_MS = 9;

/** Use of each resource: the amount in use, multiplied by the time in milliseconds. */
export interface ResourceDemand {
  /** Time for which one decode slot is occupied. */
  readonly slotMs: number;
  /** KV cache blocks multiplied by the time for which they are held. */
  readonly kvBlockMs: number;
  readonly prefillMs: number;
  readonly linkMs: number;
}

/** Capacity of a deployment per millisecond. */
export type Capacity = ResourceDemand;

/** Computes the runs of a full decode batch, limited by slots or KV cache memory, and its step time. */
export function fullBatch(
  deployment: ExperimentDeployment,
): { runs: number; stepMs: number } {
  const { profile } = deployment;
  const heldTokens = meanHeldTokens(deployment);
  const runsByMemory = profile.kvBlocks * profile.tokensPerKvBlock /
    heldTokens;
  const runs = Math.min(profile.decodeSlots, runsByMemory);
  const stepMs = profile.stepBaseMs + profile.stepPerRunMs * runs +
    profile.stepPerThousandTokensMs * runs * heldTokens / 1_000;
  return { runs, stepMs };
}

/** Computes what a request uses at the step time `stepMs`, without a cached prefix. */
export function computeDemand(
  size: RequestSize,
  options: { profile: EngineProfile; stepMs: number },
): ResourceDemand {
  const { profile, stepMs } = options;
  const linkMs = transferMs(size, profile);
  const slotMs = linkMs + size.outputTokens * stepMs;
  const meanTokens = size.promptTokens + size.outputTokens / 2;
  return {
    slotMs,
    kvBlockMs: slotMs * meanTokens / profile.tokensPerKvBlock,
    prefillMs: prefillMs(size, profile),
    linkMs,
  };
}

/** Sums the capacity of all replicas. */
export function computeCapacity(deployment: ExperimentDeployment): Capacity {
  const { profile, prefills, decodes } = deployment;
  return {
    slotMs: decodes * profile.decodeSlots,
    kvBlockMs: decodes * profile.kvBlocks,
    prefillMs: prefills,
    linkMs: prefills,
  };
}

/** Computes the arrival rate of load 1.0 in requests per millisecond, and the resource that limits it. */
export function fullLoadRate(
  deployment: ExperimentDeployment,
): {
  ratePerMs: number;
  scarcest: keyof ResourceDemand;
  rates: ResourceDemand;
} {
  const { profile } = deployment;
  const { stepMs } = fullBatch(deployment);
  const sum = { slotMs: 0, kvBlockMs: 0, prefillMs: 0, linkMs: 0 };
  for (const size of sampleSizes(deployment)) {
    const demand = computeDemand(size, { profile, stepMs });
    for (const key of RESOURCES) sum[key] += demand[key];
  }
  const capacity = computeCapacity(deployment);
  const rates = { ...sum };
  for (const key of RESOURCES) rates[key] = capacity[key] * SAMPLES / sum[key];
  const scarcest = RESOURCES.reduce((a, b) => rates[a] <= rates[b] ? a : b);
  return { ratePerMs: rates[scarcest], scarcest, rates };
}

/** The resources, as the field names of {@link ResourceDemand}. */
export const RESOURCES = [
  "slotMs",
  "kvBlockMs",
  "prefillMs",
  "linkMs",
] as const;

/** Whether the first token would miss its target even on an idle deployment. */
export function isUnattainable(
  size: RequestSize,
  profile: EngineProfile,
): boolean {
  const stepMs = profile.stepBaseMs + profile.stepPerRunMs +
    profile.stepPerThousandTokensMs * size.promptTokens / 1_000;
  const minFirstTokenMs = prefillMs(size, profile) + transferMs(size, profile) +
    stepMs + MESSAGE_LATENCY_MS;
  return minFirstTokenMs > FIRST_TOKEN_TARGET_MS;
}

function prefillMs(size: RequestSize, profile: EngineProfile): number {
  return profile.prefillBaseMs + size.promptTokens * profile.prefillPerTokenMs;
}

function transferMs(size: RequestSize, profile: EngineProfile): number {
  return size.promptTokens * profile.kvBytesPerToken /
    profile.linkBytesPerMs;
}

/** Mean tokens in the KV cache of one run, over all decode steps of all runs. */
function meanHeldTokens(deployment: ExperimentDeployment): number {
  let weighted = 0;
  let weights = 0;
  for (const size of sampleSizes(deployment)) {
    weighted += size.outputTokens * (size.promptTokens + size.outputTokens / 2);
    weights += size.outputTokens;
  }
  return weighted / weights;
}

const samplesByDeployment = new Map<
  ExperimentDeployment,
  readonly RequestSize[]
>();

function sampleSizes(deployment: ExperimentDeployment): readonly RequestSize[] {
  const cached = samplesByDeployment.get(deployment);
  if (cached) return cached;
  const generator = new RequestGenerator(deployment, SAMPLE_SEED);
  const sizes = Array.from(
    { length: SAMPLES },
    () => generator.drawSize(),
  );
  samplesByDeployment.set(deployment, sizes);
  return sizes;
}
