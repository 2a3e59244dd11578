/** Generates the workload of a run: sizes, shared prefixes, arrival times, and callers that give up. */
import {
  type ArrivalPattern,
  type ExperimentDeployment,
  MAX_OUTPUT_TOKENS,
} from "./deployments.ts";
import { RandomSource } from "./random.ts";

const PROMPT_MEDIAN_TOKENS = 2_200;
const PROMPT_SIGMA = 0.9;
const PROMPT_RANGE_TOKENS = [40, 30_000] as const;
const OUTPUT_SIGMA = 0.6;
const MIN_OUTPUT_TOKENS = 8;
const TEMPLATE_SHARE = 1 / 3;
const TEMPLATE_COUNT = 12;
const TEMPLATE_RANGE_TOKENS = [600, 2_000] as const;
const BLOCK_TOKENS = 32;
const MAX_BLOCKS = 64;
const GIVE_UP_WITHIN_MS = 10_000;
const RETRY_SHARE = 0.5;
const RETRY_DELAY_MS = 1_000;
/** Mean output length of each workspace, relative to the mean of the deployment. */
const WORKSPACE_OUTPUT_FACTORS = [0.7, 0.9, 1.1, 1.3];

/** One request of a workload. */
export interface WorkItem {
  readonly id: string;
  readonly workspace: string;
  readonly arrivesAtMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** Ids of the prompt's prefix blocks; equal ids stand for equal prompt text. */
  readonly blocks: readonly string[];
  /** When the caller disconnects if the request has not finished; undefined if it waits. */
  readonly givesUpAtMs: number | undefined;
}

/** Workspace and lengths of a request. */
export type RequestSize = Pick<
  WorkItem,
  "workspace" | "promptTokens" | "outputTokens"
>;

/** Draws random requests for one deployment. */
export class RequestGenerator {
  #deployment: ExperimentDeployment;
  #random: RandomSource;
  #templates: number[];
  #requestCount = 0;

  constructor(deployment: ExperimentDeployment, seed: number) {
    this.#deployment = deployment;
    this.#random = new RandomSource(seed);
    const [min, max] = TEMPLATE_RANGE_TOKENS;
    this.#templates = Array.from(
      { length: TEMPLATE_COUNT },
      () => min + this.#random.below(max - min),
    );
  }

  /** Draws a request; prompts with the same template begin with the same block ids. */
  drawRequest(
    template: number | undefined,
  ): RequestSize & Pick<WorkItem, "blocks"> {
    this.#requestCount += 1;
    const size = this.drawSize();
    return { ...size, blocks: this.#blocks(size.promptTokens, template) };
  }

  /** Draws the workspace and lengths of a request. */
  drawSize(): RequestSize {
    const random = this.#random;
    const index = random.below(WORKSPACE_OUTPUT_FACTORS.length);
    const [min, max] = PROMPT_RANGE_TOKENS;
    const drawnTokens = random.logNormal(PROMPT_MEDIAN_TOKENS, PROMPT_SIGMA);
    const promptTokens = Math.round(clamp(drawnTokens, min, max));
    const mean = this.#deployment.meanOutputTokens *
      WORKSPACE_OUTPUT_FACTORS[index]!;
    const median = mean / Math.exp(OUTPUT_SIGMA ** 2 / 2);
    return {
      workspace: `workspace-${index + 1}`,
      promptTokens,
      outputTokens: Math.round(
        clamp(
          random.logNormal(median, OUTPUT_SIGMA),
          MIN_OUTPUT_TOKENS,
          MAX_OUTPUT_TOKENS,
        ),
      ),
    };
  }

  /** Draws the template that a prompt begins with, or undefined for none. */
  drawTemplate(): number | undefined {
    if (!this.#random.chance(TEMPLATE_SHARE)) return undefined;
    return this.#random.below(TEMPLATE_COUNT);
  }

  #blocks(promptTokens: number, template: number | undefined): string[] {
    const count = Math.min(MAX_BLOCKS, Math.floor(promptTokens / BLOCK_TOKENS));
    const shared = template === undefined
      ? 0
      : Math.floor(this.#templates[template]! / BLOCK_TOKENS);
    return Array.from(
      { length: count },
      (_, index) =>
        index < shared
          ? `t${template}-${index}`
          : `p${this.#requestCount}-${index}`,
    );
  }
}

/** Options of {@link createWorkload}. */
export interface WorkloadOptions {
  deployment: ExperimentDeployment;
  seed: number;
  ratePerMs: number;
  durationMs: number;
  /** Interval in which the arrival rate is multiplied by `factor`. */
  surge?: { fromMs: number; toMs: number; factor: number };
}

/** Draws all requests of one run, sorted by arrival time. */
export function createWorkload(options: WorkloadOptions): WorkItem[] {
  const { deployment, seed, durationMs } = options;
  const generator = new RequestGenerator(deployment, seed);
  const random = new RandomSource(seed + 7_919);
  const items: WorkItem[] = [];
  for (const groupAtMs of groupTimes(options, random)) {
    const template = generator.drawTemplate();
    const { size, spacingMs } = drawGroup(deployment, random);
    for (let index = 0; index < size; index += 1) {
      const item = {
        id: `r${items.length}`,
        ...generator.drawRequest(template),
        arrivesAtMs: groupAtMs + index * spacingMs,
      };
      items.push(...withAbandonment(item, { deployment, random }));
    }
  }
  return items
    .filter((item) => item.arrivesAtMs < durationMs)
    .sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
}

/** Lets some callers give up at a random time; half of those retry later as a new request. */
function withAbandonment(
  item: Omit<WorkItem, "givesUpAtMs">,
  options: { deployment: ExperimentDeployment; random: RandomSource },
): WorkItem[] {
  const { deployment, random } = options;
  if (!random.chance(deployment.giveUpShare)) {
    return [{ ...item, givesUpAtMs: undefined }];
  }
  const givesUpAtMs = item.arrivesAtMs + random.uniform() * GIVE_UP_WITHIN_MS;
  const abandoned = { ...item, givesUpAtMs };
  if (!random.chance(RETRY_SHARE)) return [abandoned];
  const retry = {
    ...item,
    id: `${item.id}-again`,
    arrivesAtMs: givesUpAtMs + RETRY_DELAY_MS,
    givesUpAtMs: undefined,
  };
  return [abandoned, retry];
}

function drawGroup(
  { arrivals }: ExperimentDeployment,
  random: RandomSource,
): { size: number; spacingMs: number } {
  if (arrivals.kind !== "batches") return { size: 1, spacingMs: 0 };
  let size = 1;
  while (random.chance(1 - 1 / arrivals.meanSize)) size += 1;
  return { size, spacingMs: arrivals.spacingMs };
}

/** Draws the arrival times of groups: a Poisson process of varying rate, sampled by thinning. */
function* groupTimes(
  options: WorkloadOptions,
  random: RandomSource,
): Generator<number> {
  const { deployment: { arrivals }, durationMs, surge } = options;
  const meanSize = arrivals.kind === "batches" ? arrivals.meanSize : 1;
  const bursts = drawBursts(arrivals, { random, durationMs });
  const betweenBursts = factorBetweenBursts(arrivals);
  const factorAt = (atMs: number) => {
    const inBurst = bursts.some(([from, to]) => atMs >= from && atMs < to);
    const factor = inBurst && arrivals.kind === "bursts"
      ? arrivals.factor
      : betweenBursts;
    const inSurge = surge && atMs >= surge.fromMs && atMs < surge.toMs;
    return inSurge ? factor * surge.factor : factor;
  };
  const maxFactor =
    Math.max(betweenBursts, arrivals.kind === "bursts" ? arrivals.factor : 1) *
    (surge?.factor ?? 1);
  const meanGapMs = meanSize / options.ratePerMs / maxFactor;
  let atMs = random.exponential(meanGapMs);
  while (atMs < durationMs) {
    if (random.chance(factorAt(atMs) / maxFactor)) yield atMs;
    atMs += random.exponential(meanGapMs);
  }
}

/** Rate factor outside bursts that keeps the long-term mean at 1. */
function factorBetweenBursts(arrivals: ArrivalPattern): number {
  if (arrivals.kind !== "bursts") return 1;
  const share = arrivals.lengthMs / (arrivals.lengthMs + arrivals.meanGapMs);
  return (1 - share * arrivals.factor) / (1 - share);
}

function drawBursts(
  arrivals: ArrivalPattern,
  options: { random: RandomSource; durationMs: number },
): [number, number][] {
  const bursts: [number, number][] = [];
  if (arrivals.kind !== "bursts") return bursts;
  let atMs = options.random.exponential(arrivals.meanGapMs);
  while (atMs < options.durationMs) {
    bursts.push([atMs, atMs + arrivals.lengthMs]);
    atMs += arrivals.lengthMs + options.random.exponential(arrivals.meanGapMs);
  }
  return bursts;
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}
