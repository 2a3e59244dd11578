/**
 * Sample messages and configurations with the sizes and shapes of a large
 * deployment.
 */
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

/** Caller tokens of each workspace. */
const TOKENS_PER_WORKSPACE = 4;
const CHARACTERS_PER_TOKEN = 4;
const DATA_CENTRES = 9;
const REGIONS = 3;

/** The model of all samples. */
export const SAMPLE_MODEL = asId<ModelName>("model-0");

/** Creates VMs, spread evenly over regions and data centres. */
export function sampleVms(count: number): ListedVm[] {
  return Array.from({ length: count }, (_, index) => ({
    id: asId<VmId>(vmName(index)),
    dataCentre: asId(`helsinki-${index % DATA_CENTRES}`),
    region: asId(`suomi-${index % REGIONS}`),
    callerAddress: `10.4.${index >> 8}.${index & 255}:7000`,
    peerAddress: `10.4.${index >> 8}.${index & 255}:7002`,
    state: "live",
  }));
}

/** The id of the sample VM with this index. */
export function vmName(index: number): string {
  return `entry-vm-${String(index).padStart(4, "0")}`;
}

/**
 * Creates replicas of one model: one prefill replica for every three decode
 * replicas.
 */
export function sampleEndpoints(
  count: number,
  model: ModelName = SAMPLE_MODEL,
): Endpoint[] {
  return Array.from({ length: count }, (_, index): Endpoint => {
    const kind = index % 4 === 0 ? "prefill" : "decode";
    return {
      id: asId(`${model}-${kind}-${index}`),
      kind,
      address: `10.5.${index >> 8}.${index & 255}:9000`,
      dataCentre: asId(`helsinki-${index % DATA_CENTRES}`),
      model,
      slots: 96,
      memoryPieces: 12_800,
      state: "live",
      checksFencing: true,
      adapters: [],
    };
  });
}

/** Creates the plan of a shard with this many replicas. */
export function sampleShard(replicas: number): ShardPlan {
  const endpoints = sampleEndpoints(replicas);
  return {
    name: `${SAMPLE_MODEL}/all`,
    model: SAMPLE_MODEL,
    prefills: endpoints.filter((one) => one.kind === "prefill"),
    decodes: endpoints.filter((one) => one.kind === "decode"),
  };
}

/** Creates a load report with this many runs. */
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
    runs: Array.from({ length: runs }, (_, index) => ({
      stream: asId(`${incarnation}-s${index}`),
      key: sampleKey(index),
      owner: { vm: asId(vmName(index)), incarnation: asId(incarnation) },
      memoryPieces: 100,
      generatedTokens: 250,
    })),
  };
}

/** Creates a request key in the form that callers use. */
export function sampleKey(index: number): RequestKey {
  return asId(`workspace-${index % 5_800}/${uuidOf(index)}`);
}

/** Creates a grant request with this many prefix blocks. */
export function sampleGrantRequest(index: number, blocks = 64): GrantRequest {
  const { blocks: hashes } = samplePrompt();
  return {
    key: sampleKey(index),
    stream: asId(`${uuidOf(index)}-s${index}`),
    owner: asId(vmName(index % 400)),
    workspace: asId(`workspace-${index % 5_800}`),
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

/** Creates the registration of a running summary. */
export function sampleRegistration(index: number): Registration {
  const endpoint = (kind: string) => ({
    id: asId<EndpointId>(`${SAMPLE_MODEL}-${kind}-${index % 16}`),
    address: "10.5.0.1:9000",
  });
  return {
    key: sampleKey(index),
    caller: asId(`caller-${index % 20_000}`),
    bodyDigest: sha256(`body-${index}`),
    owner: {
      vm: asId(vmName(index % 400)),
      incarnation: asId(uuidOf(index % 400)),
    },
    epoch: 1,
    state: "running",
    run: {
      stream: asId(`${uuidOf(index)}-s${index}`),
      prefill: endpoint("prefill"),
      decode: endpoint("decode"),
    },
  };
}

/** Creates a run of a request body, as sent to the home of the body's hash. */
export function sampleRun(index: number): SuspectRun {
  return {
    id: asId(`${uuidOf(index % 400)}-u${index}`),
    hash: asId(sha256(`body-${index}`)),
    vm: asId(vmName(index % 400)),
    incarnation: asId(uuidOf(index % 400)),
    alone: false,
  };
}

/** Creates a caller's summary request with a prompt of this many tokens. */
export function sampleSummary(
  index: number,
  promptTokens: number = Math.round(DERIVED.promptTokens),
): SummaryRequest {
  const start = `Filing ${index}: `;
  return {
    workspace: asId(`workspace-${index % 5_800}`),
    caller: asId(`caller-${index % 20_000}`),
    request: asId(uuidOf(index)),
    model: SAMPLE_MODEL,
    prompt: promptText(start, promptTokens),
    maxTokens: 1_024,
    fromOffset: 0,
    deadlineAtMs: Date.now() + 120_000,
  };
}

/** Creates parsed scope bodies with this many workspaces and models. */
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

/**
 * Creates a manifest with this many workspaces and models; each model has its
 * share of the replicas.
 */
export function sampleManifest(
  options: { workspaces: number; models: number; basedOn?: number },
) {
  const { workspaces, models, basedOn = 0 } = options;
  const perModel = Math.round(DERIVED.replicasPerModel);
  const endpoints = Array.from(
    { length: models },
    (_, index) => sampleEndpoints(perModel, asId<ModelName>(modelName(index))),
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
          (_, index) => sampleWorkspace(index, models),
        ),
      },
      endpoints: { basedOn, body: [...endpoints, SAMPLE_SERVICE_REPLICA] },
    },
  };
}

/** Creates a workspace of a manifest; it uses one of `models` models, if any. */
export function sampleWorkspace(index: number, models: number) {
  return {
    id: `workspace-${index}`,
    weight: 1 + (index % 3),
    priority: 5,
    models: models > 0 ? [modelName(index % models)] : [],
    tokens: Array.from({ length: TOKENS_PER_WORKSPACE }, (_, token) => ({
      hash: tokenHash(index, token),
      caller: `caller-${index}-${token}`,
    })),
    quota: { requestsPerSecond: 20, inFlight: 50 },
  };
}

/** The plain text of a workspace's sample token. */
export function tokenText(workspace: number, token: number): string {
  return `token-${workspace}-${token}`;
}

/** Creates a configuration at version 1, as a VM holds it. */
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

/** Returns the same UUID for the same index. */
export function uuidOf(index: number): string {
  const hex = createHash("sha1").update(String(index)).digest("hex");
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
  // Copies the text into one piece of memory, as in a parsed body.
  return JSON.parse(JSON.stringify(text));
}

function modelName(index: number): string {
  return `model-${index}`;
}

function tokenHash(workspace: number, token: number): Digest {
  return digest(tokenText(workspace, token));
}
