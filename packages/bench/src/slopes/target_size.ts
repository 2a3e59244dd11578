/**
 * The deployment size that the project is designed for, and figures derived
 * from it.
 */

/** Size and targets of the planned deployment at peak load. */
export const TARGET_SIZE = {
  vms: 400,
  replicas: 600,
  requestsPerSecond: 2_200,
  tokensPerSecond: 1_100_000,
  workspaces: 5_800,
  models: 23,
  regions: 3,
  dataCentres: 9,
  changesPerDay: 290,
  activationMs: 4_000,
  failuresPerDay: 6,
  replacementsPerDay: 180,
  firstTokenMs: 610,
  betweenTokensMs: 28,
  cacheGigabytesPerSecond: 1_800,
} as const;

/** Budget of each VM for control, and the platform's capacity. */
export const BUDGET = {
  controlCoreShare: 0.01,
  controlMemoryBytes: 64 * 1024 * 1024,
  controlBytesPerSecond: 2_048,
  platformReadsPerSecond: 2_000,
  /** The platform allows several hundred; this is the lower bound. */
  platformWritesPerSecond: 300,
} as const;

/** Share of replicas that decode. */
const DECODE_SHARE = 0.75;
/** KV cache size of one prompt token. */
const CACHE_MEGABYTES_PER_TOKEN = 0.27;
const tokensPerRequest = TARGET_SIZE.tokensPerSecond /
  TARGET_SIZE.requestsPerSecond;
/** Maximum time in flight that meets both latency targets. */
const secondsInFlight =
  (TARGET_SIZE.firstTokenMs + tokensPerRequest * TARGET_SIZE.betweenTokensMs) /
  1_000;
const inFlight = TARGET_SIZE.requestsPerSecond * secondsInFlight;

/** Figures derived from {@link TARGET_SIZE}. */
export const DERIVED = {
  tokensPerRequest,
  secondsInFlight,
  inFlight,
  inFlightPerVm: inFlight / TARGET_SIZE.vms,
  requestsPerVm: TARGET_SIZE.requestsPerSecond / TARGET_SIZE.vms,
  tokensPerVm: TARGET_SIZE.tokensPerSecond / TARGET_SIZE.vms,
  runsPerDecode: inFlight / (TARGET_SIZE.replicas * DECODE_SHARE),
  promptTokens: TARGET_SIZE.cacheGigabytesPerSecond * 1_000 /
    CACHE_MEGABYTES_PER_TOKEN / TARGET_SIZE.requestsPerSecond,
  vmsPerRegion: TARGET_SIZE.vms / TARGET_SIZE.regions,
  vmsPerDataCentre: TARGET_SIZE.vms / TARGET_SIZE.dataCentres,
  replicasPerModel: TARGET_SIZE.replicas / TARGET_SIZE.models,
  shards: TARGET_SIZE.models * TARGET_SIZE.regions,
} as const;
