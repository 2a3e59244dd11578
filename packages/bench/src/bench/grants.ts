/** Times grant decisions at shard homes. */
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

/** What a measurement of grants came to. */
export interface GrantsResult {
  readonly replicas: number;
  readonly models: number;
  readonly decisions: number;
  readonly medianUs: number;
  readonly p99Us: number;
}

/** Options of {@link measureGrants}. */
export interface GrantsOptions {
  replicas: number;
  models: number;
  decisions?: number;
}

const DEFAULT_DECISIONS = 5_000;
const WARM_UP_DECISIONS = 1_000;
const DATA_CENTRES = 9;
const PREFILL_SHARE = 0.25;
/** Share of the slots that is in use while decisions are timed. */
const FILL_SHARE = 0.8;
const PROMPT_TOKENS = 400;
const NS_PER_US = 1_000;

/** Fills the shards of all models and times one grant after another, each ended before the next. */
export function measureGrants(options: GrantsOptions): GrantsResult {
  const { replicas, models, decisions = DEFAULT_DECISIONS } = options;
  const endpoints = createEndpoints(options);
  const shards = createShards(endpoints, models);
  const random = seededRandom(1);
  const histogram = build({ numberOfSignificantValueDigits: 3 });
  for (const shard of shards) fillShard(shard);
  for (let at = 0; at < WARM_UP_DECISIONS + decisions; at += 1) {
    const shard = shards[Math.floor(random() * shards.length)]!;
    const spentNs = timeGrant(shard, at);
    if (at >= WARM_UP_DECISIONS) histogram.recordValue(spentNs);
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

function timeGrant(shard: Shard, at: number): number {
  const request = createRequest(shard, `timed-${at}`);
  const startedNs = process.hrtime.bigint();
  // The choice of the shard by the owner and the decision by its home.
  const answer = requestGrant(shard, request);
  const spentNs = Number(process.hrtime.bigint() - startedNs);
  shard.applyProgress(answer, { kind: "ended", generatedTokens: 100 });
  return spentNs;
}

/** A request that is granted at once is answered before the call returns; its promise only later. */
function requestGrant(shard: Shard, request: GrantRequest): GrantId {
  const before = lastGrant;
  void shard.request(request);
  if (lastGrant === before) throw new Error("Request was not granted at once");
  return asId(`grant-${lastGrant}`);
}

let lastGrant = 0;

function createShards(endpoints: readonly Endpoint[], models: number): Shard[] {
  const shards: Shard[] = [];
  for (let at = 0; at < models; at += 1) {
    for (const plan of planShards(endpoints, { model: modelName(at) })) {
      const shard = new Shard({
        plan,
        policy: reserveThenPrefill,
        settings: () => SETTINGS,
        random: seededRandom(at),
        nextGrantId: () => `grant-${lastGrant += 1}`,
      });
      for (const one of [...plan.prefills, ...plan.decodes]) {
        shard.state.applyReport(emptyReport(one), performance.now());
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

/** Grants until most slots are taken, each run already decoding. */
function fillShard(shard: Shard): void {
  const slots = shard.state.decodes.reduce((sum, one) => sum + one.slots, 0);
  for (let at = 0; at < slots * FILL_SHARE; at += 1) {
    const grant = requestGrant(shard, createRequest(shard, `fill-${at}`));
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
    blocks: Array.from({ length: 12 }, (_, at) => `${name}-${at}`),
    maxTokens: 1_000,
    firstTokenInMs: 600,
    deadlineInMs: 30_000,
    avoid: [],
    alone: false,
  };
}

function createEndpoints(options: GrantsOptions): Endpoint[] {
  const { replicas, models } = options;
  const perModel = Math.floor(replicas / models);
  const endpoints: Endpoint[] = [];
  for (let model = 0; model < models; model += 1) {
    const prefills = Math.max(1, Math.round(perModel * PREFILL_SHARE));
    for (let at = 0; at < perModel; at += 1) {
      endpoints.push(EndpointSchema.parse({
        id: `m${model}-${at}`,
        kind: at < prefills ? "prefill" : "decode",
        address: `m${model}-${at}`,
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

function modelName(at: number): ModelName {
  return asId(`model-${at}`);
}
