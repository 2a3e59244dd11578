/** The size that the project is designed for, and what follows from it by division. */

/** The planned deployment at its peak. */
export const LETTER = {
  nodes: 400,
  replicas: 600,
  requestsPerSecond: 2_200,
  tokensPerSecond: 1_100_000,
  workspaces: 5_800,
  models: 23,
  regions: 3,
  dataCentres: 9,
  changesPerDay: 290,
  adoptionMs: 4_000,
  failuresPerDay: 6,
  replacementsPerDay: 180,
  firstTokenMs: 610,
  betweenTokensMs: 28,
  cacheGigabytesPerSecond: 1_800,
} as const;

/** What a node may spend on control, and what the platform gives. */
export const BUDGET = {
  controlCoreShare: 0.01,
  controlMemoryBytes: 64 * 1024 * 1024,
  controlBytesPerSecond: 2_048,
  platformReadsPerSecond: 2_000,
  /** "Several hundred", read as the least that the words allow. */
  platformWritesPerSecond: 300,
} as const;

/** Share of replicas that decode. */
const DECODE_SHARE = 0.75;
/** KV cache of one prompt token. */
const CACHE_MEGABYTES_PER_TOKEN = 0.27;
const tokensPerRequest = LETTER.tokensPerSecond / LETTER.requestsPerSecond;
/** Longest time in flight that meets both targets. */
const secondsInFlight =
  (LETTER.firstTokenMs + tokensPerRequest * LETTER.betweenTokensMs) / 1_000;
const inFlight = LETTER.requestsPerSecond * secondsInFlight;

/** Figures that follow from the letter's. */
export const DERIVED = {
  tokensPerRequest,
  secondsInFlight,
  inFlight,
  inFlightPerNode: inFlight / LETTER.nodes,
  requestsPerNode: LETTER.requestsPerSecond / LETTER.nodes,
  tokensPerNode: LETTER.tokensPerSecond / LETTER.nodes,
  runsPerDecode: inFlight / (LETTER.replicas * DECODE_SHARE),
  promptTokens: LETTER.cacheGigabytesPerSecond * 1_000 /
    CACHE_MEGABYTES_PER_TOKEN / LETTER.requestsPerSecond,
  nodesPerRegion: LETTER.nodes / LETTER.regions,
  nodesPerDataCentre: LETTER.nodes / LETTER.dataCentres,
  replicasPerModel: LETTER.replicas / LETTER.models,
  shards: LETTER.models * LETTER.regions,
} as const;
