/** Messages and configurations of the size and form that a large deployment has. */
import { createHash, randomUUID } from "node:crypto";
import {
  asId,
  canonicalBody,
  type Configuration,
  type Digest,
  digest,
  type Endpoint,
  type EndpointId,
  type GrantRequest,
  type ListedVm,
  type LoadReport,
  measurePrompt,
  type ModelName,
  parseManifest,
  type Registration,
  type RequestKey,
  type ScopeBodies,
  type ShardPlan,
  type SummaryRequest,
  type SuspectRun,
  type VmId,
} from "@teaselvalve/core";
import { DERIVED } from "./target_size.ts";

/** Tokens of a workspace's callers. */
const TOKENS_PER_WORKSPACE = 4;
const CHARACTERS_PER_TOKEN = 4;
const DATA_CENTRES = 9;
const REGIONS = 3;

/** The model that samples name. */
export const SAMPLE_MODEL = asId<ModelName>("model-0");

/** Lists VMs spread over regions and data centres. */
export function sampleVms(count: number): ListedVm[] {
  return Array.from({ length: count }, (_, at) => ({
    id: asId<VmId>(vmName(at)),
    dataCentre: asId(`helsinki-${at % DATA_CENTRES}`),
    region: asId(`suomi-${at % REGIONS}`),
    callerAddress: `10.4.${at >> 8}.${at & 255}:7000`,
    peerAddress: `10.4.${at >> 8}.${at & 255}:7002`,
    state: "live",
  }));
}

/** The name of a sample VM. */
export function vmName(at: number): string {
  return `entry-vm-${String(at).padStart(4, "0")}`;
}

/** Gives replicas of one model: one prefill to three decode. */
export function sampleEndpoints(
  count: number,
  model: ModelName = SAMPLE_MODEL,
): Endpoint[] {
  return Array.from({ length: count }, (_, at): Endpoint => {
    const kind = at % 4 === 0 ? "prefill" : "decode";
    return {
      id: asId(`${model}-${kind}-${at}`),
      kind,
      address: `10.5.${at >> 8}.${at & 255}:9000`,
      dataCentre: asId(`helsinki-${at % DATA_CENTRES}`),
      model,
      slots: 96,
      memoryPieces: 12_800,
      state: "live",
      checksFencing: true,
      adapters: [],
    };
  });
}

/** Gives a shard of so many replicas. */
export function sampleShard(replicas: number): ShardPlan {
  const endpoints = sampleEndpoints(replicas);
  return {
    name: `${SAMPLE_MODEL}/all`,
    model: SAMPLE_MODEL,
    prefills: endpoints.filter((one) => one.kind === "prefill"),
    decodes: endpoints.filter((one) => one.kind === "decode"),
  };
}

/** A load report that lists so many runs. */
export function sampleReport(
  endpoint: Pick<Endpoint, "id" | "kind">,
  runs: number,
): LoadReport {
  const incarnation = randomUUID();
  return {
    endpoint: endpoint.id,
    boot: randomUUID(),
    ageMs: 250,
    state: "live",
    role: endpoint.kind === "prefill" ? "prefill" : "decode",
    models: [SAMPLE_MODEL],
    slots: 96,
    memoryPieces: 12_800,
    queuedTokens: 0,
    runs: Array.from({ length: runs }, (_, at) => ({
      stream: asId(`${incarnation}-s${at}`),
      key: sampleKey(at),
      owner: { vm: asId(vmName(at)), incarnation: asId(incarnation) },
      memoryPieces: 100,
      generatedTokens: 250,
    })),
  };
}

/** A request key as callers make it. */
export function sampleKey(at: number): RequestKey {
  return asId(`workspace-${at % 5_800}/${uuidOf(at)}`);
}

/** A question for a grant, with so many prefix blocks. */
export function sampleGrantRequest(at: number, blocks = 64): GrantRequest {
  const { blocks: hashes } = samplePrompt();
  return {
    key: sampleKey(at),
    stream: asId(`${uuidOf(at)}-s${at}`),
    owner: asId(vmName(at % 400)),
    workspace: asId(`workspace-${at % 5_800}`),
    model: SAMPLE_MODEL,
    promptTokens: Math.round(DERIVED.promptTokens),
    blocks: hashes.slice(0, blocks),
    maxTokens: 1_024,
    firstTokenInMs: 610,
    deadlineInMs: 120_000,
    avoid: [],
    alone: false,
  };
}

/** A registration of a running summary. */
export function sampleRegistration(at: number): Registration {
  const endpoint = (kind: string) => ({
    id: asId<EndpointId>(`${SAMPLE_MODEL}-${kind}-${at % 16}`),
    address: "10.5.0.1:9000",
  });
  return {
    key: sampleKey(at),
    caller: asId(`caller-${at % 20_000}`),
    bodyDigest: sha256(`body-${at}`),
    owner: { vm: asId(vmName(at % 400)), incarnation: asId(uuidOf(at % 400)) },
    epoch: 1,
    state: "running",
    run: {
      stream: asId(`${uuidOf(at)}-s${at}`),
      prefill: endpoint("prefill"),
      decode: endpoint("decode"),
    },
  };
}

/** A run of a request body, as its hash's home knows it. */
export function sampleRun(at: number): SuspectRun {
  return {
    id: asId(`${uuidOf(at % 400)}-u${at}`),
    hash: asId(sha256(`body-${at}`)),
    vm: asId(vmName(at % 400)),
    incarnation: asId(uuidOf(at % 400)),
    alone: false,
  };
}

/** A summary as a caller sends it, with a prompt of so many tokens. */
export function sampleSummary(
  at: number,
  promptTokens: number = Math.round(DERIVED.promptTokens),
): SummaryRequest {
  const start = `Filing ${at}: `;
  return {
    workspace: asId(`workspace-${at % 5_800}`),
    caller: asId(`caller-${at % 20_000}`),
    request: asId(uuidOf(at)),
    model: SAMPLE_MODEL,
    prompt: promptText(start, promptTokens),
    maxTokens: 1_024,
    fromOffset: 0,
    deadlineAtMs: Date.now() + 120_000,
  };
}

/** Checked bodies with so many workspaces and endpoints. */
export function sampleBodies(
  options: { workspaces: number; models: number },
): ScopeBodies {
  const manifest = parseManifest(sampleManifest(options))._unsafeUnwrap();
  return {
    deployment: manifest.scopes.deployment!.body,
    workspaces: canonicalBody(
      "workspaces",
      manifest.scopes.workspaces!.body,
    ),
    endpoints: canonicalBody("endpoints", manifest.scopes.endpoints!.body),
    roles: [],
  };
}

const SAMPLE_SERVICE_REPLICA = {
  id: "kirjaamo-0",
  kind: "service",
  service: "kirjaamo",
  address: "10.5.255.1:9000",
  dataCentre: "helsinki-0",
};

/** A manifest with so many workspaces and models, each served by its share of the replicas. */
export function sampleManifest(
  options: { workspaces: number; models: number; basedOn?: number },
) {
  const { workspaces, models, basedOn = 0 } = options;
  const perModel = Math.round(DERIVED.replicasPerModel);
  const endpoints = Array.from(
    { length: models },
    (_, at) => sampleEndpoints(perModel, asId<ModelName>(modelName(at))),
  ).flat();
  return {
    submissionId: `pipeline-${randomUUID()}`,
    scopes: {
      deployment: {
        basedOn,
        body: { name: "planned", services: [{ name: "kirjaamo" }] },
      },
      workspaces: {
        basedOn,
        body: Array.from(
          { length: workspaces },
          (_, at) => sampleWorkspace(at, models),
        ),
      },
      endpoints: { basedOn, body: [...endpoints, SAMPLE_SERVICE_REPLICA] },
    },
  };
}

/** One workspace as a pipeline writes it. */
export function sampleWorkspace(at: number, models: number) {
  return {
    id: `workspace-${at}`,
    weight: 1 + (at % 3),
    priority: 5,
    models: models > 0 ? [modelName(at % models)] : [],
    tokens: Array.from({ length: TOKENS_PER_WORKSPACE }, (_, token) => ({
      hash: tokenHash(at, token),
      caller: `caller-${at}-${token}`,
    })),
    quota: { requestsPerSecond: 20, inFlight: 50 },
  };
}

/** The text of a sample token. */
export function tokenText(workspace: number, token: number): string {
  return `token-${workspace}-${token}`;
}

/** A configuration as a VM holds it, at version 1. */
export function sampleConfiguration(
  options: { workspaces: number; models: number },
): Configuration {
  const scopeHead = { version: 1, digest: sha256("a body") };
  return {
    head: {
      version: 1,
      scopes: {
        deployment: scopeHead,
        workspaces: scopeHead,
        endpoints: scopeHead,
      },
    },
    bodies: sampleBodies(options),
  };
}

/** A UUID that depends only on a number. */
export function uuidOf(at: number): string {
  const hex = createHash("sha1").update(String(at)).digest("hex");
  return [
    hex.slice(0, 8),
    hex.slice(8, 12),
    hex.slice(12, 16),
    hex.slice(16, 20),
    hex.slice(20, 32),
  ].join("-");
}

/** The SHA-256 digest of a text. */
export function sha256(text: string): Digest {
  return digest(text);
}

let prompt: ReturnType<typeof measurePrompt> | undefined;

function samplePrompt() {
  prompt ??= measurePrompt(promptText("", Math.round(DERIVED.promptTokens)));
  return prompt;
}

function promptText(start: string, tokens: number): string {
  const length = tokens * CHARACTERS_PER_TOKEN;
  const text = start.padEnd(length, "the house is finished and occupied ");
  // A copy in one piece, as a parsed body is.
  return JSON.parse(JSON.stringify(text));
}

function modelName(at: number): string {
  return `model-${at}`;
}

function tokenHash(workspace: number, token: number): Digest {
  return digest(tokenText(workspace, token));
}
