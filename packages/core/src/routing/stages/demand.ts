/** Measures what streams need of prefill and of decode endpoints. */

/** Weight of the newest stream in the moving averages. */
const COMPLETION_WEIGHT = 0.05;
/** The same for the prompts of streams that came, of which there are more. */
const ARRIVAL_WEIGHT = 0.02;
/** Time before the averages are used: the first streams to end are the short ones. */
const MIN_AGE_MS = 8_000;
/** Streams before the averages are used. */
const MIN_STREAMS = 12;
/** Streams that one VM's averages stand for at most, as older ones have faded from them. */
const MAX_SAMPLE_STREAMS = 1 / COMPLETION_WEIGHT;

/** What one stream took. */
export interface StreamCost {
  /** Memory held at the decode endpoint, on average over the stream. */
  readonly heldTokens: number;
  readonly decodeMs: number;
}

/** One VM's averages, as it tells them to others. */
export interface DemandSample {
  /** Streams that the averages stand for. */
  readonly streams: number;
  readonly promptTokens: number;
  /** Memory at a decode endpoint times how long it is held. */
  readonly tokenMs: number;
}

/** The sample of a VM that has seen no stream. */
export const NO_DEMAND: DemandSample = {
  streams: 0,
  promptTokens: 0,
  tokenMs: 0,
};

/** What an average stream needs, in time of a whole endpoint. */
export interface StageNeeds {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Options of {@link computeStageNeeds}. */
export interface StageNeedsOptions {
  /** Memory of a decode endpoint. */
  kvTokens: number;
  prefillTokensPerMs: number;
}

/** Averages over the streams of one service that this VM has seen. */
export class StageDemand {
  #streams = 0;
  #firstAtMs = Infinity;
  #arrivals = 0;
  #promptTokens = 0;
  #tokenMs = 0;

  /** Notes a stream that came, whatever becomes of it. */
  noteArrival(promptTokens: number): void {
    this.#arrivals += 1;
    const weight = Math.max(ARRIVAL_WEIGHT, 1 / this.#arrivals);
    this.#promptTokens += weight * (promptTokens - this.#promptTokens);
  }

  /** Notes a stream that ended well. */
  noteCompletion(cost: StreamCost): void {
    this.#streams += 1;
    const beganAtMs = performance.now() - cost.decodeMs;
    this.#firstAtMs = Math.min(this.#firstAtMs, beganAtMs);
    const weight = Math.max(COMPLETION_WEIGHT, 1 / this.#streams);
    const tokenMs = cost.heldTokens * cost.decodeMs;
    this.#tokenMs += weight * (tokenMs - this.#tokenMs);
  }

  /** The averages, for this VM or another. */
  sample(): DemandSample {
    if (performance.now() - this.#firstAtMs < MIN_AGE_MS) return NO_DEMAND;
    return {
      streams: Math.min(this.#streams, MAX_SAMPLE_STREAMS),
      promptTokens: this.#promptTokens,
      tokenMs: this.#tokenMs,
    };
  }
}

/** What a stream needs by the averages of several VMs, or null before enough streams were seen. */
export function computeStageNeeds(
  samples: readonly DemandSample[],
  options: StageNeedsOptions,
): StageNeeds | null {
  const streams = samples.reduce((sum, one) => sum + one.streams, 0);
  if (streams < MIN_STREAMS) return null;
  const mean = (valueOf: (sample: DemandSample) => number) =>
    samples.reduce((sum, one) => sum + one.streams * valueOf(one), 0) / streams;
  return {
    prefillMs: mean((one) => one.promptTokens) / options.prefillTokensPerMs,
    decodeMs: mean((one) => one.tokenMs) / options.kvTokens,
  };
}
