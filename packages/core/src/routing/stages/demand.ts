/** Measures what streams need of prefill and of decode endpoints. */

/** Weight of the newest stream in the moving averages. */
const WEIGHT = 0.1;
/** Streams before the averages are used. */
const MIN_STREAMS = 6;

/** What one stream took. */
export interface StreamCost {
  readonly promptTokens: number;
  /** Memory held at the decode endpoint, on average over the stream. */
  readonly heldTokens: number;
  readonly decodeMs: number;
}

/** What an average stream needs, in time of a whole endpoint. */
export interface StageNeeds {
  readonly prefillMs: number;
  readonly decodeMs: number;
}

/** Options of {@link StageDemand.needs}. */
export interface StageDemandOptions {
  /** Memory of a decode endpoint. */
  kvTokens: number;
  prefillTokensPerMs: number;
}

/** Averages over the streams of one service that this VM has seen end. */
export class StageDemand {
  #streams = 0;
  #promptTokens = 0;
  #tokenMs = 0;

  /** Notes a stream that ended well. */
  note(cost: StreamCost): void {
    this.#streams += 1;
    const weight = Math.max(WEIGHT, 1 / this.#streams);
    const tokenMs = cost.heldTokens * cost.decodeMs;
    this.#promptTokens += weight * (cost.promptTokens - this.#promptTokens);
    this.#tokenMs += weight * (tokenMs - this.#tokenMs);
  }

  /** What a stream needs, or null before enough were seen. */
  needs(options: StageDemandOptions): StageNeeds | null {
    if (this.#streams < MIN_STREAMS) return null;
    return {
      prefillMs: this.#promptTokens / options.prefillTokensPerMs,
      decodeMs: this.#tokenMs / options.kvTokens,
    };
  }
}
