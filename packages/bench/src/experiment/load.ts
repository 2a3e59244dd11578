/** What load 1.0 means: the rate at which the scarcest of four resources is just used up. */
import type { EngineFigures } from "@teaselvalve/fakes";
import {
  type ExperimentDeployment,
  FIRST_TOKEN_TARGET_MS,
} from "./deployments.ts";
import { RequestGenerator, type RequestSize } from "./workload.ts";

const SAMPLES = 100_000;
const SAMPLE_SEED = 20_261;
/** Caller, peers and engines each way, once for each message before the first token. */
const HOPS_MS = 9;

/** What one request needs of a deployment. */
export interface ResourceDemand {
  /** One slot for this long. */
  readonly slotMs: number;
  /** Pieces times the time for which they are held. */
  readonly pieceMs: number;
  readonly prefillMs: number;
  readonly linkMs: number;
}

/** What a deployment has, for each millisecond. */
export type Capacity = ResourceDemand;

/** Gives the members of a full batch and its step time. */
export function fullBatch(
  deployment: ExperimentDeployment,
): { runs: number; stepMs: number } {
  const { profile: figures } = deployment;
  const held = meanHeldTokens(deployment);
  const byMemory = figures.memoryPieces * figures.tokensPerPiece / held;
  const members = Math.min(figures.decodeSlots, byMemory);
  const stepMs = figures.stepBaseMs + figures.stepPerMemberMs * members +
    figures.stepPerThousandTokensMs * members * held / 1_000;
  return { runs: members, stepMs };
}

/** What a request needs, at the step time of a full batch and without a cached prefix. */
export function computeDemand(
  size: RequestSize,
  options: { figures: EngineFigures; stepMs: number },
): ResourceDemand {
  const { figures, stepMs } = options;
  const linkMs = transferMs(size, figures);
  const slotMs = linkMs + size.outputTokens * stepMs;
  const meanTokens = size.promptTokens + size.outputTokens / 2;
  return {
    slotMs,
    pieceMs: slotMs * meanTokens / figures.tokensPerPiece,
    prefillMs: prefillMs(size, figures),
    linkMs,
  };
}

/** What a deployment has. */
export function computeCapacity(deployment: ExperimentDeployment): Capacity {
  const { profile: figures, prefills, decodes } = deployment;
  return {
    slotMs: decodes * figures.decodeSlots,
    pieceMs: decodes * figures.memoryPieces,
    prefillMs: prefills,
    linkMs: prefills,
  };
}

/** The rate of load 1.0, in requests a millisecond, and which resource sets it. */
export function fullLoadRate(
  deployment: ExperimentDeployment,
): {
  ratePerMs: number;
  scarcest: keyof ResourceDemand;
  rates: ResourceDemand;
} {
  const { profile: figures } = deployment;
  const { stepMs } = fullBatch(deployment);
  const sum = { slotMs: 0, pieceMs: 0, prefillMs: 0, linkMs: 0 };
  for (const size of samples(deployment)) {
    const need = computeDemand(size, { figures, stepMs });
    for (const one of RESOURCES) sum[one] += need[one];
  }
  const capacity = computeCapacity(deployment);
  const rates = { ...sum };
  for (const one of RESOURCES) rates[one] = capacity[one] * SAMPLES / sum[one];
  const scarcest = RESOURCES.reduce((a, b) => rates[a] <= rates[b] ? a : b);
  return { ratePerMs: rates[scarcest], scarcest, rates };
}

/** The resources, by field. */
export const RESOURCES = ["slotMs", "pieceMs", "prefillMs", "linkMs"] as const;

/** Whether the first token would be late even at an idle deployment. */
export function isUnattainable(
  size: RequestSize,
  figures: EngineFigures,
): boolean {
  const stepMs = figures.stepBaseMs + figures.stepPerMemberMs +
    figures.stepPerThousandTokensMs * size.promptTokens / 1_000;
  const leastMs = prefillMs(size, figures) + transferMs(size, figures) +
    stepMs + HOPS_MS;
  return leastMs > FIRST_TOKEN_TARGET_MS;
}

function prefillMs(size: RequestSize, figures: EngineFigures): number {
  return figures.prefillBaseMs + size.promptTokens * figures.prefillPerTokenMs;
}

function transferMs(size: RequestSize, figures: EngineFigures): number {
  return size.promptTokens * figures.cacheBytesPerToken /
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

const sampled = new Map<ExperimentDeployment, readonly RequestSize[]>();

function samples(deployment: ExperimentDeployment): readonly RequestSize[] {
  const known = sampled.get(deployment);
  if (known) return known;
  const source = new RequestGenerator(deployment, SAMPLE_SEED);
  const drawn = Array.from({ length: SAMPLES }, () => source.drawSize());
  sampled.set(deployment, drawn);
  return drawn;
}
