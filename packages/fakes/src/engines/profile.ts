/** Speeds and sizes of the fake engines, by deployment. */

/** What makes up an engine's speed and size. */
export interface EngineProfile {
  readonly decodeSlots: number;
  readonly kvBlocks: number;
  readonly tokensPerKvBlock: number;
  readonly stepBaseMs: number;
  readonly stepPerRunMs: number;
  /** Step time for each 1,000 tokens held. */
  readonly stepPerThousandTokensMs: number;
  readonly prefillBaseMs: number;
  readonly prefillPerTokenMs: number;
  readonly exportRetentionMs: number;
  readonly kvBytesPerToken: number;
  readonly linkBytesPerMs: number;
  /** Blocks that a prefix cache holds. */
  readonly prefixCacheBlocks: number;
  /** Oldest and newest age of a load report. */
  readonly reportAgeRangeMs: readonly [number, number];
  readonly eventDelayRangeMs: readonly [number, number];
  readonly eventLossShare: number;
  /** How long a finished answer's text can still be attached to. */
  readonly finishedRetentionMs: number;
}

/** The deployments of today. */
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

/** A slice of the size that letter 1 plans for. */
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
