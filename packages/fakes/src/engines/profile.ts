/** Performance profiles of the fake engines. */

/** Speed and capacity of an engine. */
export interface EngineProfile {
  readonly decodeSlots: number;
  readonly kvBlocks: number;
  readonly tokensPerKvBlock: number;
  readonly stepBaseMs: number;
  readonly stepPerRunMs: number;
  /** Added to the step time for each 1,000 tokens that the batch holds. */
  readonly stepPerThousandTokensMs: number;
  readonly prefillBaseMs: number;
  readonly prefillPerTokenMs: number;
  /** How long an exported KV cache is kept for its transfer. */
  readonly exportRetentionMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerMs: number;
  /** Capacity of the prefix cache, in blocks. */
  readonly prefixCacheBlocks: number;
  /** Minimum and maximum age of a load report. */
  readonly reportAgeRangeMs: readonly [number, number];
  /** Minimum and maximum delay of a cache event. */
  readonly eventDelayRangeMs: readonly [number, number];
  /** Share of cache events that are lost, from 0 to 1. */
  readonly eventLossShare: number;
  /** How long a finished run is kept, so that a VM can still attach to it. */
  readonly finishedRetentionMs: number;
}

/** An engine of the current deployments. */
export const CURRENT_PROFILE: EngineProfile = {
  decodeSlots: 20,
  kvBlocks: 2_000,
  tokensPerKvBlock: 32,
  stepBaseMs: 12,
  stepPerRunMs: 0.6,
  stepPerThousandTokensMs: 0.03,
  prefillBaseMs: 15,
  prefillPerTokenMs: 0.022,
  exportRetentionMs: 800,
  kvBytesPerToken: 270_000,
  linkBytesPerMs: 10_000_000,
  prefixCacheBlocks: 20_000,
  reportAgeRangeMs: [500, 2_000],
  eventDelayRangeMs: [200, 3_000],
  eventLossShare: 0.02,
  finishedRetentionMs: 30_000,
};

/** A slice of the planned size, as in the `letter-1-slice` experiment. */
export const SLICE_PROFILE: EngineProfile = {
  ...CURRENT_PROFILE,
  decodeSlots: 64,
  kvBlocks: 6_400,
  stepPerRunMs: 0.15,
  stepPerThousandTokensMs: 0.02,
  prefillBaseMs: 8,
  prefillPerTokenMs: 0.018,
  linkBytesPerMs: 50_000_000,
};
