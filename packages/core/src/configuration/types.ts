/** Types and schemas of manifests, their scopes and the configuration. */
import { z } from "zod";
import type {
  CallerId,
  DataCentre,
  Digest,
  EndpointId,
  ModelName,
  ServiceName,
  VmId,
  WorkspaceId,
} from "../common/ids.ts";

/** Schema of a name: up to 63 characters of a-z, 0-9, `.`, `_` and `-`, the first a letter or digit. */
function name<T extends string>() {
  return z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/).transform((text) =>
    text as T
  );
}

const sha256 = z.string().regex(/^[0-9a-f]{64}$/).transform((text) =>
  text as Digest
);

/** A plain (non-model) service. */
export const ServiceSchema = z.strictObject({
  name: name<ServiceName>(),
  /** HTTP methods whose calls may be retried; calls of all others run at most once. */
  repeatableMethods: z.array(z.string()).default(["GET", "HEAD"]),
  timeoutMs: z.number().int().min(100).max(600_000).default(30_000),
});

/** Settings of the whole deployment. */
export const DeploymentSchema = z.strictObject({
  name: name<string>(),
  /** Weight of wasted prefills against goodput. Larger values keep more memory of decode replicas free for running answers to grow. */
  prefillWasteWeight: z.number().min(0).max(1).default(0.5),
  /** Target time from the start of a summary to its first token. */
  firstTokenTargetMs: z.number().int().min(10).default(610),
  /** Target time between two tokens of an answer; limits the batch size of decode replicas. */
  betweenTokensTargetMs: z.number().int().min(1).default(28),
  /** How long callers may cache the VM addresses that they looked up. */
  addressTtlMs: z.number().int().min(1_000).default(10_000),
  /** How long a summary of a lost VM may wait to be taken over before it is cancelled. */
  adoptionMs: z.number().int().min(0).default(2_000),
  /** How long a call's idempotency key is valid after its creation; the outcome is kept at least as long. */
  callRetentionMs: z.number().int().min(60_000).default(86_400_000),
  /** Default and maximum time from a summary's request to its deadline. */
  summaryTimeoutMs: z.number().int().min(1_000).default(120_000),
  /** Maximum rate of orders to replicas to load model weights, over all models. */
  modelLoadsPerMinute: z.number().positive().max(6_000).default(6),
  /** Share of a workspace's admitted requests that may be retried. */
  retryBudgetShare: z.number().min(0).max(1).default(0.1),
  /** How long a request that crashed engines stays suspected or quarantined. */
  convictionMs: z.number().int().min(1_000).default(3_600_000),
  services: z.array(ServiceSchema).max(500).default([]),
});

/** A caller's token, stored as its SHA-256 hash. */
export const TokenSchema = z.strictObject({
  hash: sha256,
  caller: name<CallerId>(),
  expiresAtMs: z.number().int().optional(),
  revoked: z.boolean().default(false),
});

/** Limits of a workspace, applied over the whole deployment; absent means unlimited. */
export const QuotaSchema = z.strictObject({
  requestsPerSecond: z.number().positive().optional(),
  tokensPerSecond: z.number().positive().optional(),
  inFlight: z.number().int().positive().optional(),
});

/** A workspace (tenant) with its weight, models, tokens and quota. */
export const WorkspaceSchema = z.strictObject({
  id: name<WorkspaceId>(),
  /** Share of the replicas' capacity relative to other workspaces while requests queue. */
  weight: z.number().positive().default(1),
  /** Validated and stored, but has no effect. */
  priority: z.number().int().min(0).max(9).default(5),
  /** The models that its callers may use; absent means all. */
  models: z.array(name<ModelName>()).max(500).optional(),
  tokens: z.array(TokenSchema).max(500).default([]),
  quota: QuotaSchema.default({}),
});

/** A back end: a model engine (prefill or decode) or a replica of a plain service. */
export const EndpointSchema = z.strictObject({
  id: name<EndpointId>(),
  kind: z.enum(["prefill", "decode", "service"]),
  address: z.string().min(1).max(255),
  dataCentre: name<DataCentre>(),
  model: name<ModelName>().optional(),
  service: name<ServiceName>().optional(),
  slots: z.number().int().positive().default(20),
  /** KV cache of a decode replica, in blocks of 32 tokens; its load reports override the value. */
  memoryPieces: z.number().int().positive().default(2_000),
  state: z.enum(["live", "leaving"]).default("live"),
  /** Whether the engine rejects orders with an outdated fencing number. */
  checksFencing: z.boolean().default(true),
  adapters: z.array(z.string().max(200)).max(100).default([]),
  modelVersion: z.string().max(200).optional(),
});

/** A token of the administration interface and its permissions. */
export const RoleSchema = z.strictObject({
  hash: sha256,
  name: name<string>(),
  role: z.enum(["reader", "operator", "administrator"]),
  /** The workspaces that an operator may change; ignored for other roles. */
  workspaces: z.array(name<WorkspaceId>()).max(20_000).default([]),
});

/** The schema of each scope's body. */
export const ScopeSchemas = {
  deployment: DeploymentSchema,
  workspaces: z.array(WorkspaceSchema).max(20_000),
  endpoints: z.array(EndpointSchema).max(5_000),
  roles: z.array(RoleSchema).max(1_000),
} as const;

/** The scopes of a manifest; each has its own version and changes independently. */
export const SCOPES = [
  "deployment",
  "workspaces",
  "endpoints",
  "roles",
] as const;

/** Name of a scope. */
export type Scope = (typeof SCOPES)[number];
/** See {@link DeploymentSchema}. */
export type Deployment = z.infer<typeof DeploymentSchema>;
/** See {@link TokenSchema}. */
export type Token = z.infer<typeof TokenSchema>;
/** See {@link QuotaSchema}. */
export type Quota = z.infer<typeof QuotaSchema>;
/** See {@link WorkspaceSchema}. */
export type Workspace = z.infer<typeof WorkspaceSchema>;
/** See {@link EndpointSchema}. */
export type Endpoint = z.infer<typeof EndpointSchema>;
/** See {@link ServiceSchema}. */
export type Service = z.infer<typeof ServiceSchema>;
/** See {@link RoleSchema}. */
export type Role = z.infer<typeof RoleSchema>;

/** The bodies of all scopes. */
export interface ScopeBodies {
  deployment: Deployment;
  workspaces: Workspace[];
  endpoints: Endpoint[];
  roles: Role[];
}

/** Bodies before the first manifest: empty lists and an undefined deployment. */
export function emptyBodies(): ScopeBodies {
  return {
    deployment: undefined as never,
    workspaces: [],
    endpoints: [],
    roles: [],
  };
}

function scopeSubmission<S extends Scope>(scope: S) {
  return z.strictObject({
    /** Version of this scope that the change is based on; 0 if it has none yet. */
    basedOn: z.number().int().min(0),
    body: ScopeSchemas[scope],
  }).optional();
}

/** A manifest as a client submits it. Omitted scopes stay unchanged. */
export const ManifestSchema = z.strictObject({
  submissionId: z.string().min(1).max(200),
  /** Allows the manifest to remove the last live replica of a model or service, and its workspaces to list models that no endpoint serves. */
  allowModelWithoutReplica: z.boolean().default(false),
  scopes: z.strictObject({
    deployment: scopeSubmission("deployment"),
    workspaces: scopeSubmission("workspaces"),
    endpoints: scopeSubmission("endpoints"),
    roles: scopeSubmission("roles"),
  }),
});

/** A parsed manifest. */
export type Manifest = z.infer<typeof ManifestSchema>;

/** The current body of a scope, by digest, and the version that set it. */
export interface ScopeHead {
  readonly version: number;
  readonly digest: Digest;
  /** The earlier version whose full body is stored; absent if this version's own body is stored in full. */
  readonly base?: { readonly version: number; readonly digest: Digest };
}

/** The row that identifies the latest committed configuration. */
export interface ConfigurationHead {
  /** Increases by one with each committed manifest. */
  readonly version: number;
  readonly scopes: { readonly [S in Scope]?: ScopeHead };
  /** Digest that names the stored object of the change from the previous version. */
  readonly change?: Digest;
}

/** What one committed manifest changed in one scope: a new body, or list items by key. */
export type ScopeChange =
  | { readonly kind: "whole"; readonly body: unknown }
  | {
    readonly kind: "items";
    /** New and changed items, in full. */
    readonly put: readonly unknown[];
    /** Keys of removed items. */
    readonly removed: readonly string[];
  };

/** The changes of one committed manifest. */
export interface ConfigurationChange {
  /** The resulting head; its version is one above the previous version. */
  readonly head: ConfigurationHead;
  readonly scopes: { readonly [S in Scope]?: ScopeChange };
}

/** The history row of one committed manifest. */
export interface HistoryEntry {
  readonly version: number;
  readonly submissionId: string;
  /** When it was committed, by the wall clock of the VM that committed it. */
  readonly acceptedAtMs: number;
  /** The VM that committed it. */
  readonly vm: VmId;
  readonly changed: readonly Scope[];
  readonly head: ConfigurationHead;
}

/** The row of a committed submission; a repeated submission finds its version here. */
export interface SubmissionRow {
  readonly version: number;
  readonly manifestDigest: Digest;
}

/** One error in a manifest, with the path of the faulty field. */
export interface ManifestError {
  readonly path: string;
  readonly message: string;
}

/** A scope that changed since the version that a manifest is based on. */
export interface ScopeConflict {
  readonly scope: Scope;
  readonly basedOn: number;
  readonly current: number;
  /** The differences that the manifest would have overwritten, one line each. */
  readonly difference: readonly string[];
}

/** A complete configuration: its head and the bodies of all scopes. */
export interface Configuration {
  readonly head: ConfigurationHead;
  readonly bodies: Readonly<ScopeBodies>;
}

/** The outcome of a submission. */
export type SubmissionOutcome =
  | {
    readonly kind: "accepted";
    readonly version: number;
    /** Number of VMs that hold it, including the answering one. */
    readonly holders: number;
    /** Number of data centres of those VMs. */
    readonly holderDataCentres: number;
  }
  | { readonly kind: "conflict"; readonly conflicts: readonly ScopeConflict[] }
  | { readonly kind: "invalid"; readonly errors: readonly ManifestError[] }
  | {
    /** Committed, but too few VMs hold it yet; submit again with the same id to retry the replication. */
    readonly kind: "pending";
    readonly version: number;
    readonly holders: number;
    readonly retryAfterMs: number;
  }
  | {
    /** It is unknown whether the commit succeeded; submit again with the same id to find out. */
    readonly kind: "unknown";
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unavailable"; readonly retryAfterMs: number };

/** The result of a dry run of a manifest. */
export type ManifestCheck =
  /** It would be accepted now; `difference` lists what it would change. */
  | { readonly kind: "valid"; readonly difference: readonly string[] }
  | Extract<
    SubmissionOutcome,
    { kind: "conflict" | "invalid" | "unavailable" | "unknown" }
  >;

/** The active version of one VM. */
export interface ActiveVersion {
  readonly vm: VmId;
  readonly dataCentre: DataCentre;
  readonly state: string;
  /** 0 if the VM has no configuration; null if it doesn't answer. */
  readonly version: number | null;
}
