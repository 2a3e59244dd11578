/** Measures how long a shard's home takes to decide about a grant. */
import { seededRandom } from "@teaselvalve/fakes";
import {
  asId,
  type Endpoint,
  EndpointSchema,
  type GrantId,
  type GrantRequest,
  type LoadReport,
  type ModelName,
  planShards,
  reserveThenPrefill,
  Shard,
} from "@teaselvalve/core";
import { build } from "hdr-histogram-js";

/** Time of a grant decision for a deployment of a given size. */
export interface GrantsResult {
  readonly replicas: number;
  readonly models: number;
  readonly decisions: number;
  readonly medianUs: number;
  readonly p99Us: number;
}

/** Options of {@link measureGrants}. */
export interface GrantsOptions {
  /** Replicas of all models together. */
  replicas: number;
  models: number;
  /** Number of decisions that are timed. */
  decisions?: number;
}

const DEFAULT_DECISIONS = 5_000;
const WARM_UP_DECISIONS = 1_000;
const DATA_CENTRES = 9;
/** Share of the replicas that prefill; the others decode. */
const PREFILL_SHARE = 0.25;
/** Share of the decode slots in use while decisions are timed. */
const FILL_SHARE = 0.8;
const PROMPT_TOKENS = 400;
const NS_PER_US = 1_000;

/**
 * Fills the shards of all models, then times one grant after another at random shards.
 * Each run ends before the next grant is requested.
 */
export function measureGrants(options: GrantsOptions): GrantsResult {
  const { replicas, models, decisions = DEFAULT_DECISIONS } = options;
  const endpoints = createEndpoints(options);
  const shards = createShards(endpoints, models);
  const random = seededRandom(1);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const shard of shards) fillShard(shard);
  for (let index = 0; index < WARM_UP_DECISIONS + decisions; index += 1) {
    const shard = shards[Math.floor(random() * shards.length)]!;
    const spentNs = timeGrant(shard, index);
    if (index >= WARM_UP_DECISIONS) histogram.recordValue(spentNs);
  }
  for (const shard of shards) shard.close();
  return {
    replicas,
    models,
    decisions,
    medianUs: histogram.getValueAtPercentile(50) / NS_PER_US,
    p99Us: histogram.getValueAtPercentile(99) / NS_PER_US,
  };
}

function timeGrant(shard: Shard, index: number): number {
  const request = createRequest(shard, `timed-${index}`);
  const startedNs = process.hrtime.bigint();
  // Only the decision of the shard's home; the owner's choice of the shard isn't timed.
  const grant = requestGrant(shard, request);
  const spentNs = Number(process.hrtime.bigint() - startedNs);
  shard.applyProgress(grant, { kind: "ended", generatedTokens: 100 });
  return spentNs;
}

/**
 * Requests a grant and returns its id. A request that is granted at once has its grant id
 * assigned before the call returns; its promise resolves only later.
 */
function requestGrant(shard: Shard, request: GrantRequest): GrantId {
  const before = lastGrant;
  void shard.request(request);
  if (lastGrant === before) throw new Error("Request was not granted at once");
  return asId(`grant-${lastGrant}`);
}

/** Number of the last grant id assigned by any shard. */
let lastGrant = 0;

function createShards(endpoints: readonly Endpoint[], models: number): Shard[] {
  const shards: Shard[] = [];
  for (let index = 0; index < models; index += 1) {
    for (const plan of planShards(endpoints, { model: modelName(index) })) {
      const shard = new Shard({
        plan,
        policy: reserveThenPrefill,
        settings: () => SETTINGS,
        random: seededRandom(index),
        nextGrantId: () => `grant-${lastGrant += 1}`,
      });
      for (const endpoint of [...plan.prefills, ...plan.decodes]) {
        shard.state.applyReport(emptyReport(endpoint), performance.now());
      }
      shards.push(shard);
    }
  }
  return shards;
}

const SETTINGS = {
  betweenTokensTargetMs: 28,
  prefillWasteWeight: 0.5,
  weightOf: () => 1,
};

/** Grants runs, and starts their decoding, until `FILL_SHARE` of the slots is in use. */
function fillShard(shard: Shard): void {
  const slots = shard.state.decodes.reduce(
    (sum, decode) => sum + decode.slots,
    0,
  );
  for (let index = 0; index < slots * FILL_SHARE; index += 1) {
    const grant = requestGrant(shard, createRequest(shard, `fill-${index}`));
    shard.applyProgress(grant, { kind: "prefillEnded" });
    shard.applyProgress(grant, { kind: "decodeStarted" });
  }
}

function createRequest(shard: Shard, name: string): GrantRequest {
  return {
    key: asId(`workspace/${name}`),
    stream: asId(`stream-${name}`),
    owner: asId("vm-1"),
    workspace: asId("workspace"),
    model: shard.plan.model,
    promptTokens: PROMPT_TOKENS,
    blocks: Array.from({ length: 12 }, (_, index) => `${name}-${index}`),
    maxTokens: 1_000,
    firstTokenInMs: 600,
    deadlineInMs: 30_000,
    avoid: [],
    alone: false,
  };
}

function createEndpoints(options: GrantsOptions): Endpoint[] {
  const { replicas, models } = options;
  const replicasPerModel = Math.floor(replicas / models);
  const endpoints: Endpoint[] = [];
  for (let model = 0; model < models; model += 1) {
    const prefills = Math.max(1, Math.round(replicasPerModel * PREFILL_SHARE));
    for (let index = 0; index < replicasPerModel; index += 1) {
      endpoints.push(EndpointSchema.parse({
        id: `m${model}-${index}`,
        kind: index < prefills ? "prefill" : "decode",
        address: `m${model}-${index}`,
        dataCentre: `dc-${model % DATA_CENTRES}`,
        model: modelName(model),
      }));
    }
  }
  return endpoints;
}

function emptyReport(endpoint: Endpoint): LoadReport {
  return {
    endpoint: endpoint.id,
    boot: "1",
    ageMs: 0,
    state: "live",
    role: endpoint.kind === "prefill" ? "prefill" : "decode",
    models: [endpoint.model!],
    slots: endpoint.slots,
    memoryPieces: endpoint.memoryPieces,
    runs: [],
    queuedTokens: 0,
  };
}

function modelName(index: number): ModelName {
  return asId(`model-${index}`);
}
