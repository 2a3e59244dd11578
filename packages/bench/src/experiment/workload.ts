/** Requests as callers bring them: sizes, shared prefixes, arrivals, and callers that give up. */
import {
  type ArrivalPattern,
  type ExperimentDeployment,
  MAX_OUTPUT_TOKENS,
} from "./deployments.ts";
import { RandomSource } from "./random.ts";

const PROMPT_MEDIAN_TOKENS = 2_200;
const PROMPT_SIGMA = 0.9;
const PROMPT_RANGE = [40, 30_000] as const;
const OUTPUT_SIGMA = 0.6;
const OUTPUT_LEAST_TOKENS = 8;
const TEMPLATE_SHARE = 1 / 3;
const TEMPLATE_COUNT = 12;
const TEMPLATE_RANGE = [600, 2_000] as const;
const BLOCK_TOKENS = 32;
const MAX_BLOCKS = 64;
const GIVE_UP_WITHIN_MS = 10_000;
const ASK_AGAIN_SHARE = 0.5;
const ASK_AGAIN_AFTER_MS = 1_000;
/** Mean output of each workspace, as a share of the deployment's. */
const WORKSPACE_OUTPUT = [0.7, 0.9, 1.1, 1.3];

/** One request of a workload. */
export interface WorkItem {
  readonly id: string;
  readonly workspace: string;
  readonly arrivesAtMs: number;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly blocks: readonly string[];
  /** When its caller goes, if it isn't done by then. */
  readonly givesUpAtMs: number | undefined;
}

/** Sizes of a request, without its place in time. */
export type RequestSize = Pick<
  WorkItem,
  "workspace" | "promptTokens" | "outputTokens"
>;

/** Draws requests of one deployment. */
export class RequestGenerator {
  #deployment: ExperimentDeployment;
  #draw: RandomSource;
  #templates: number[];
  #drawn = 0;

  constructor(deployment: ExperimentDeployment, seed: number) {
    this.#deployment = deployment;
    this.#draw = new RandomSource(seed);
    const [least, most] = TEMPLATE_RANGE;
    this.#templates = Array.from(
      { length: TEMPLATE_COUNT },
      () => least + this.#draw.below(most - least),
    );
  }

  /** Draws a request's sizes and the blocks that its prompt begins with. */
  drawRequest(
    template: number | undefined,
  ): RequestSize & Pick<WorkItem, "blocks"> {
    this.#drawn += 1;
    const size = this.drawSize();
    return { ...size, blocks: this.#blocks(size.promptTokens, template) };
  }

  /** Draws the sizes of one request. */
  drawSize(): RequestSize {
    const draw = this.#draw;
    const at = draw.below(WORKSPACE_OUTPUT.length);
    const [least, most] = PROMPT_RANGE;
    const drawnTokens = draw.logNormal(PROMPT_MEDIAN_TOKENS, PROMPT_SIGMA);
    const promptTokens = Math.round(clamp(drawnTokens, least, most));
    const mean = this.#deployment.meanOutputTokens * WORKSPACE_OUTPUT[at]!;
    const median = mean / Math.exp(OUTPUT_SIGMA ** 2 / 2);
    return {
      workspace: `workspace-${at + 1}`,
      promptTokens,
      outputTokens: Math.round(
        clamp(
          draw.logNormal(median, OUTPUT_SIGMA),
          OUTPUT_LEAST_TOKENS,
          MAX_OUTPUT_TOKENS,
        ),
      ),
    };
  }

  /** Draws which template a prompt begins with, if any. */
  drawTemplate(): number | undefined {
    if (!this.#draw.chance(TEMPLATE_SHARE)) return undefined;
    return this.#draw.below(TEMPLATE_COUNT);
  }

  #blocks(promptTokens: number, template: number | undefined): string[] {
    const count = Math.min(MAX_BLOCKS, Math.floor(promptTokens / BLOCK_TOKENS));
    const shared = template === undefined
      ? 0
      : Math.floor(this.#templates[template]! / BLOCK_TOKENS);
    return Array.from(
      { length: count },
      (_, at) => at < shared ? `t${template}-${at}` : `p${this.#drawn}-${at}`,
    );
  }
}

/** Options of {@link createWorkload}. */
export interface WorkloadOptions {
  deployment: ExperimentDeployment;
  seed: number;
  ratePerMs: number;
  durationMs: number;
  /** A time of many more arrivals. */
  surge?: { fromMs: number; toMs: number; factor: number };
}

/** Draws all requests of one run, in the order in which they arrive. */
export function createWorkload(options: WorkloadOptions): WorkItem[] {
  const { deployment, seed, durationMs } = options;
  const source = new RequestGenerator(deployment, seed);
  const draw = new RandomSource(seed + 7_919);
  const items: WorkItem[] = [];
  for (const groupAtMs of groupTimes(options, draw)) {
    const template = source.drawTemplate();
    const { size, spacingMs } = drawGroup(deployment, draw);
    for (let at = 0; at < size; at += 1) {
      const item = {
        id: `r${items.length}`,
        ...source.drawRequest(template),
        arrivesAtMs: groupAtMs + at * spacingMs,
      };
      items.push(...withLeaving(item, { deployment, draw }));
    }
  }
  return items
    .filter((item) => item.arrivesAtMs < durationMs)
    .sort((a, b) => a.arrivesAtMs - b.arrivesAtMs);
}

/** A caller may leave at a random time, and half of those ask again. */
function withLeaving(
  item: Omit<WorkItem, "givesUpAtMs">,
  options: { deployment: ExperimentDeployment; draw: RandomSource },
): WorkItem[] {
  const { deployment, draw } = options;
  if (!draw.chance(deployment.giveUpShare)) {
    return [{ ...item, givesUpAtMs: undefined }];
  }
  const givesUpAtMs = item.arrivesAtMs + draw.uniform() * GIVE_UP_WITHIN_MS;
  const left = { ...item, givesUpAtMs };
  if (!draw.chance(ASK_AGAIN_SHARE)) return [left];
  const again = {
    ...item,
    id: `${item.id}-again`,
    arrivesAtMs: givesUpAtMs + ASK_AGAIN_AFTER_MS,
    givesUpAtMs: undefined,
  };
  return [left, again];
}

function drawGroup(
  { arrivals }: ExperimentDeployment,
  draw: RandomSource,
): { size: number; spacingMs: number } {
  if (arrivals.kind !== "batches") return { size: 1, spacingMs: 0 };
  let size = 1;
  while (draw.chance(1 - 1 / arrivals.meanSize)) size += 1;
  return { size, spacingMs: arrivals.spacingMs };
}

/** Times at which groups of requests arrive, as a Poisson process of changing rate. */
function* groupTimes(
  options: WorkloadOptions,
  draw: RandomSource,
): Generator<number> {
  const { deployment: { arrivals }, durationMs, surge } = options;
  const meanSize = arrivals.kind === "batches" ? arrivals.meanSize : 1;
  const bursts = drawBursts(arrivals, { draw, durationMs });
  const calm = calmFactor(arrivals);
  const factorAt = (atMs: number) => {
    const burst = bursts.some(([from, to]) => atMs >= from && atMs < to);
    const usual = burst && arrivals.kind === "bursts" ? arrivals.factor : calm;
    const inSurge = surge && atMs >= surge.fromMs && atMs < surge.toMs;
    return inSurge ? usual * surge.factor : usual;
  };
  const most =
    Math.max(calm, arrivals.kind === "bursts" ? arrivals.factor : 1) *
    (surge?.factor ?? 1);
  const meanGapMs = meanSize / options.ratePerMs / most;
  let atMs = draw.exponential(meanGapMs);
  while (atMs < durationMs) {
    if (draw.chance(factorAt(atMs) / most)) yield atMs;
    atMs += draw.exponential(meanGapMs);
  }
}

/** Rate outside bursts, so that the mean over all time is 1. */
function calmFactor(arrivals: ArrivalPattern): number {
  if (arrivals.kind !== "bursts") return 1;
  const share = arrivals.lengthMs / (arrivals.lengthMs + arrivals.meanGapMs);
  return (1 - share * arrivals.factor) / (1 - share);
}

function drawBursts(
  arrivals: ArrivalPattern,
  options: { draw: RandomSource; durationMs: number },
): [number, number][] {
  const bursts: [number, number][] = [];
  if (arrivals.kind !== "bursts") return bursts;
  let atMs = options.draw.exponential(arrivals.meanGapMs);
  while (atMs < options.durationMs) {
    bursts.push([atMs, atMs + arrivals.lengthMs]);
    atMs += arrivals.lengthMs + options.draw.exponential(arrivals.meanGapMs);
  }
  return bursts;
}

function clamp(value: number, least: number, most: number): number {
  return Math.min(most, Math.max(least, value));
}
