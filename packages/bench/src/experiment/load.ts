/** What load 1.0 means: the rate at which the scarcest of four resources is just used up. */
import type { EngineProfile } from "@teaselvalve/fakes";
import {
  type ExperimentDeployment,
  FIRST_TOKEN_TARGET_MS,
} from "./deployments.ts";
import { type WorkSize, WorkSource } from "./workload.ts";

const SAMPLES = 100_000;
const SAMPLE_SEED = 20_261;
/** Caller, peers and engines each way, once for each message before the first token. */
const HOPS_MS = 9;

/** What one request needs of a deployment. */
export interface Need {
  /** One slot for this long. */
  readonly slotMs: number;
  /** Pieces times the time for which they are held. */
  readonly pieceMs: number;
  readonly prefillMs: number;
  readonly linkMs: number;
}

/** What a deployment has, for each millisecond. */
export type Capacity = Need;

/** Gives the members of a full batch and its step time. */
export function fullBatch(
  deployment: ExperimentDeployment,
): { members: number; stepMs: number } {
  const { figures } = deployment;
  const held = meanHeldTokens(deployment);
  const byMemory = figures.kvBlocks * figures.tokensPerKvBlock / held;
  const members = Math.min(figures.decodeSlots, byMemory);
  const stepMs = figures.stepBaseMs + figures.stepPerRunMs * members +
    figures.stepPerThousandTokensMs * members * held / 1_000;
  return { members, stepMs };
}

/** What a request needs, at the step time of a full batch and without a cached prefix. */
export function needOf(
  size: WorkSize,
  options: { figures: EngineProfile; stepMs: number },
): Need {
  const { figures, stepMs } = options;
  const linkMs = transferMs(size, figures);
  const slotMs = linkMs + size.outputTokens * stepMs;
  const meanTokens = size.promptTokens + size.outputTokens / 2;
  return {
    slotMs,
    pieceMs: slotMs * meanTokens / figures.tokensPerKvBlock,
    prefillMs: prefillMs(size, figures),
    linkMs,
  };
}

/** What a deployment has. */
export function capacityOf(deployment: ExperimentDeployment): Capacity {
  const { figures, prefills, decodes } = deployment;
  return {
    slotMs: decodes * figures.decodeSlots,
    pieceMs: decodes * figures.kvBlocks,
    prefillMs: prefills,
    linkMs: prefills,
  };
}

/** The rate of load 1.0, in requests a millisecond, and which resource sets it. */
export function fullRate(
  deployment: ExperimentDeployment,
): { ratePerMs: number; scarcest: keyof Need; rates: Need } {
  const { figures } = deployment;
  const { stepMs } = fullBatch(deployment);
  const sum = { slotMs: 0, pieceMs: 0, prefillMs: 0, linkMs: 0 };
  for (const size of samples(deployment)) {
    const need = needOf(size, { figures, stepMs });
    for (const one of RESOURCES) sum[one] += need[one];
  }
  const capacity = capacityOf(deployment);
  const rates = { ...sum };
  for (const one of RESOURCES) rates[one] = capacity[one] * SAMPLES / sum[one];
  const scarcest = RESOURCES.reduce((a, b) => rates[a] <= rates[b] ? a : b);
  return { ratePerMs: rates[scarcest], scarcest, rates };
}

/** The resources, by field. */
export const RESOURCES = ["slotMs", "pieceMs", "prefillMs", "linkMs"] as const;

/** Whether the first token would be late even at an idle deployment. */
export function isUnattainable(
  size: WorkSize,
  figures: EngineProfile,
): boolean {
  const stepMs = figures.stepBaseMs + figures.stepPerRunMs +
    figures.stepPerThousandTokensMs * size.promptTokens / 1_000;
  const leastMs = prefillMs(size, figures) + transferMs(size, figures) +
    stepMs + HOPS_MS;
  return leastMs > FIRST_TOKEN_TARGET_MS;
}

function prefillMs(size: WorkSize, figures: EngineProfile): number {
  return figures.prefillBaseMs + size.promptTokens * figures.prefillPerTokenMs;
}

function transferMs(size: WorkSize, figures: EngineProfile): number {
  return size.promptTokens * figures.kvBytesPerToken /
    figures.linkBytesPerMs;
}

function meanHeldTokens(deployment: ExperimentDeployment): number {
  let weighted = 0;
  let weights = 0;
  for (const size of samples(deployment)) {
    weighted += size.outputTokens * (size.promptTokens + size.outputTokens / 2);
    weights += size.outputTokens;
  }
  return weighted / weights;
}

const sampled = new Map<ExperimentDeployment, readonly WorkSize[]>();

function samples(deployment: ExperimentDeployment): readonly WorkSize[] {
  const known = sampled.get(deployment);
  if (known) return known;
  const source = new WorkSource(deployment, SAMPLE_SEED);
  const drawn = Array.from({ length: SAMPLES }, () => source.size());
  sampled.set(deployment, drawn);
  return drawn;
}
