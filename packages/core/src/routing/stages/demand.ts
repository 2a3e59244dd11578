/** Measures how much time of prefill and decode endpoints a service's streams need. */

/** Weight of the newest completed stream in the moving average. */
const COMPLETION_WEIGHT = 0.05;
/** Weight of the newest prompt; smaller, as more streams arrive than complete. */
const ARRIVAL_WEIGHT = 0.02;
/**
 * Time before the averages of completed streams are used: the first to complete are the
 * short ones. Until then, the expected outputs of those that arrived are.
 */
const MIN_AGE_MS = 8_000;
/** Completed streams, over all samples, before the averages are used. */
const MIN_STREAMS = 12;
/** Maximum number of streams that one VM's averages represent; older ones have decayed. */
const MAX_SAMPLE_STREAMS = 1 / COMPLETION_WEIGHT;

/** Decode resources that one stream used. */
export interface StreamCost {
  /** KV cache tokens held at the decode endpoint, averaged over the stream. */
  readonly heldTokens: number;
  readonly decodeMs: number;
}

/** What a stream is expected to need, in tokens. */
export interface ExpectedCost {
  readonly promptTokens: number;
  readonly expectedTokens: number;
  readonly maxTokens: number;
}

/** One VM's averages, as sent to other VMs. */
export interface DemandSample {
  /** Number of streams that the averages represent. */
  readonly streams: number;
  readonly promptTokens: number;
  /** KV cache tokens at a decode endpoint times how long they are held. */
  readonly tokenMs: number;
  /** Speed of a prefill as measured by the VM; absent from VMs of older builds. */
  readonly prefillTokensPerMs?: number;
}

/** The sample of a VM that has no averages yet. */
export const NO_DEMAND: DemandSample = {
  streams: 0,
  promptTokens: 0,
  tokenMs: 0,
};

/** For each stage, how long an average stream would occupy a whole endpoint. */
export interface StageNeeds {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Options of {@link computeStageNeeds}. */
export interface StageNeedsOptions {
  /** KV cache capacity of a decode endpoint, in tokens. */
  kvTokens: number;
  /** Speed of a prefill that is assumed for samples without one. */
  prefillTokensPerMs: number;
}

/** Speeds that a VM has measured. */
export interface Speeds {
  /** Tokens that a stream generates per millisecond; null before any was measured. */
  decodeTokensPerMs: () => number | null;
  /** Prompt tokens that an endpoint processes per millisecond; undefined if not known. */
  prefillTokensPerMs: () => number | undefined;
}

/** Moving averages over the streams of one service at this VM. */
export class StageDemand {
  #streams = 0;
  #firstAtMs = Infinity;
  #arrivals = 0;
  #promptTokens = 0;
  #tokenMs = 0;
  /** KV cache tokens times the tokens generated while they are held, as expected on arrival. */
  #expectedArea = 0;
  #speeds: Speeds;

  constructor(speeds: Partial<Speeds> = {}) {
    this.#speeds = {
      decodeTokensPerMs: () => null,
      prefillTokensPerMs: () => undefined,
      ...speeds,
    };
  }

  /** Records a stream that arrived, whatever its outcome. */
  noteArrival({ promptTokens, ...expected }: ExpectedCost): void {
    this.#arrivals += 1;
    const weight = Math.max(ARRIVAL_WEIGHT, 1 / this.#arrivals);
    this.#promptTokens += weight * (promptTokens - this.#promptTokens);
    const outputTokens = steadyOutput(expected);
    const area = (promptTokens + outputTokens / 2) * outputTokens;
    this.#expectedArea += weight * (area - this.#expectedArea);
  }

  /** Records a stream that completed successfully. */
  noteCompletion(cost: StreamCost): void {
    this.#streams += 1;
    const beganAtMs = performance.now() - cost.decodeMs;
    this.#firstAtMs = Math.min(this.#firstAtMs, beganAtMs);
    const weight = Math.max(COMPLETION_WEIGHT, 1 / this.#streams);
    const tokenMs = cost.heldTokens * cost.decodeMs;
    this.#tokenMs += weight * (tokenMs - this.#tokenMs);
  }

  /** Returns the averages, or {@link NO_DEMAND} while too little is known. */
  sample(): DemandSample {
    const { decodeTokensPerMs, prefillTokensPerMs } = this.#speeds;
    const speed = prefillTokensPerMs();
    const measured = {
      promptTokens: this.#promptTokens,
      ...(speed === undefined ? {} : { prefillTokensPerMs: speed }),
    };
    if (performance.now() - this.#firstAtMs >= MIN_AGE_MS) {
      const streams = Math.min(this.#streams, MAX_SAMPLE_STREAMS);
      return { ...measured, streams, tokenMs: this.#tokenMs };
    }
    const tokensPerMs = decodeTokensPerMs();
    if (tokensPerMs === null || this.#arrivals === 0) return NO_DEMAND;
    const streams = Math.min(this.#arrivals, MAX_SAMPLE_STREAMS);
    const tokenMs = this.#expectedArea / tokensPerMs;
    return { ...measured, streams, tokenMs };
  }
}

// The mean of estimates that are often far off is too high, and more so that of their
// squares. The middle between an estimate and the middle of the range is steadier.
function steadyOutput(
  { expectedTokens, maxTokens }: Omit<ExpectedCost, "promptTokens">,
): number {
  return Math.sqrt(expectedTokens * maxTokens / 2);
}

/** Computes an average stream's needs from several VMs' samples; null before enough streams completed. */
export function computeStageNeeds(
  samples: readonly DemandSample[],
  options: StageNeedsOptions,
): StageNeeds | null {
  const streams = samples.reduce((sum, sample) => sum + sample.streams, 0);
  if (streams < MIN_STREAMS) return null;
  const mean = (valueOf: (sample: DemandSample) => number) =>
    samples.reduce(
      (sum, sample) => sum + sample.streams * valueOf(sample),
      0,
    ) / streams;
  return {
    prefillMs: mean(({ promptTokens, prefillTokensPerMs }) =>
      promptTokens / (prefillTokensPerMs ?? options.prefillTokensPerMs)
    ),
    decodeMs: mean((sample) => sample.tokenMs) / options.kvTokens,
  };
}
