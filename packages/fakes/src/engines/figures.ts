/** Speeds and sizes of the fake engines, by deployment. */

/** What makes up an engine's speed and size. */
export interface EngineFigures {
  readonly decodeSlots: number;
  readonly memoryPieces: number;
  readonly tokensPerPiece: number;
  readonly stepBaseMs: number;
  readonly stepPerMemberMs: number;
  /** Step time for each 1,000 tokens held. */
  readonly stepPerThousandTokensMs: number;
  readonly prefillBaseMs: number;
  readonly prefillPerTokenMs: number;
  readonly resultKeptMs: number;
  readonly cacheBytesPerToken: number;
  readonly linkBytesPerMs: number;
  /** Blocks that a prefix cache holds. */
  readonly cacheBlocks: number;
  /** Oldest and newest age of a load report. */
  readonly reportAgeMs: readonly [number, number];
  readonly eventDelayMs: readonly [number, number];
  readonly eventLossShare: number;
  /** How long a finished answer's text can still be attached to. */
  readonly finishedKeptMs: number;
}

/** The deployments of today. */
export const TODAY_FIGURES: EngineFigures = {
  decodeSlots: 20,
  memoryPieces: 2_000,
  tokensPerPiece: 32,
  stepBaseMs: 12,
  stepPerMemberMs: 0.6,
  stepPerThousandTokensMs: 0.03,
  prefillBaseMs: 15,
  prefillPerTokenMs: 0.022,
  resultKeptMs: 800,
  cacheBytesPerToken: 270_000,
  linkBytesPerMs: 10_000_000,
  cacheBlocks: 20_000,
  reportAgeMs: [500, 2_000],
  eventDelayMs: [200, 3_000],
  eventLossShare: 0.02,
  finishedKeptMs: 30_000,
};

/** A slice of the size that letter 1 plans for. */
export const SLICE_FIGURES: EngineFigures = {
  ...TODAY_FIGURES,
  decodeSlots: 64,
  memoryPieces: 6_400,
  stepPerMemberMs: 0.15,
  stepPerThousandTokensMs: 0.02,
  prefillBaseMs: 8,
  prefillPerTokenMs: 0.018,
  linkBytesPerMs: 50_000_000,
};
