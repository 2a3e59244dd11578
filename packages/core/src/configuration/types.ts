/** The manifest, its scopes and the configuration in force. */
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

function name<T extends string>() {
  return z.string().regex(/^[a-z0-9][a-z0-9._-]{0,62}$/).transform((text) =>
    text as T
  );
}

const sha256 = z.string().regex(/^[0-9a-f]{64}$/).transform((text) =>
  text as Digest
);

/** A plain service and which of its calls may be repeated. */
export const ServiceSchema = z.strictObject({
  name: name<ServiceName>(),
  /** Methods whose calls may be repeated; all others run at most once. */
  repeatableMethods: z.array(z.string()).default(["GET", "HEAD"]),
  timeoutMs: z.number().int().min(100).max(600_000).default(30_000),
});

/** Settings of the whole deployment. */
export const DeploymentSchema = z.strictObject({
  name: name<string>(),
  /** How much wasted prefill weighs against goodput: 0 starts on likely slots, 1 only on certain ones. */
  prefillWasteWeight: z.number().min(0).max(1).default(0.5),
  firstTokenTargetMs: z.number().int().min(10).default(610),
  betweenTokensTargetMs: z.number().int().min(1).default(28),
  addressTtlMs: z.number().int().min(1_000).default(10_000),
  adoptionMs: z.number().int().min(0).default(2_000),
  callRetentionMs: z.number().int().min(60_000).default(86_400_000),
  summaryTimeoutMs: z.number().int().min(1_000).default(120_000),
  /** How often replicas may be ordered to load weights, over all models. */
  modelLoadsPerMinute: z.number().positive().max(6_000).default(6),
  retryBudgetShare: z.number().min(0).max(1).default(0.1),
  convictionMs: z.number().int().min(1_000).default(3_600_000),
  services: z.array(ServiceSchema).max(500).default([]),
});

/** A caller's token, kept as a hash. */
export const TokenSchema = z.strictObject({
  hash: sha256,
  caller: name<CallerId>(),
  expiresAtMs: z.number().int().optional(),
  revoked: z.boolean().default(false),
});

/** Limits of a workspace over the whole deployment. */
export const QuotaSchema = z.strictObject({
  requestsPerSecond: z.number().positive().optional(),
  tokensPerSecond: z.number().positive().optional(),
  inFlight: z.number().int().positive().optional(),
});

/** A tenant. */
export const WorkspaceSchema = z.strictObject({
  id: name<WorkspaceId>(),
  weight: z.number().positive().default(1),
  priority: z.number().int().min(0).max(9).default(5),
  models: z.array(name<ModelName>()).max(500).optional(),
  tokens: z.array(TokenSchema).max(500).default([]),
  quota: QuotaSchema.default({}),
});

/** A back end: a model engine or a replica of a plain service. */
export const EndpointSchema = z.strictObject({
  id: name<EndpointId>(),
  kind: z.enum(["prefill", "decode", "service"]),
  address: z.string().min(1).max(255),
  dataCentre: name<DataCentre>(),
  model: name<ModelName>().optional(),
  service: name<ServiceName>().optional(),
  slots: z.number().int().positive().default(20),
  memoryPieces: z.number().int().positive().default(2_000),
  state: z.enum(["live", "leaving"]).default("live"),
  /** Whether the engine refuses orders with an old fencing number. */
  checksFencing: z.boolean().default(true),
  adapters: z.array(z.string().max(200)).max(100).default([]),
  modelVersion: z.string().max(200).optional(),
});

/** What a token of the administration interface may do. */
export const RoleSchema = z.strictObject({
  hash: sha256,
  name: name<string>(),
  role: z.enum(["reader", "operator", "administrator"]),
  /** The workspaces that an operator may change; ignored for other roles. */
  workspaces: z.array(name<WorkspaceId>()).max(20_000).default([]),
});

/** The body of each scope. */
export const ScopeSchemas = {
  deployment: DeploymentSchema,
  workspaces: z.array(WorkspaceSchema).max(20_000),
  endpoints: z.array(EndpointSchema).max(5_000),
  roles: z.array(RoleSchema).max(1_000),
} as const;

/** The parts of a manifest that change independently. */
export const SCOPES = [
  "deployment",
  "workspaces",
  "endpoints",
  "roles",
] as const;

/** A part of a manifest. */
export type Scope = (typeof SCOPES)[number];
/** Settings of the whole deployment. */
export type Deployment = z.infer<typeof DeploymentSchema>;
/** A caller's token. */
export type Token = z.infer<typeof TokenSchema>;
/** Limits of a workspace. */
export type Quota = z.infer<typeof QuotaSchema>;
/** A tenant. */
export type Workspace = z.infer<typeof WorkspaceSchema>;
/** A back end. */
export type Endpoint = z.infer<typeof EndpointSchema>;
/** A plain service. */
export type Service = z.infer<typeof ServiceSchema>;
/** A token of the administration interface. */
export type Role = z.infer<typeof RoleSchema>;

/** The bodies of all scopes. */
export interface ScopeBodies {
  deployment: Deployment;
  workspaces: Workspace[];
  endpoints: Endpoint[];
  roles: Role[];
}

/** Bodies of a deployment that has not been configured yet. */
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
    /** Version of this scope that the change was made from; 0 for the first. */
    basedOn: z.number().int().min(0),
    body: ScopeSchemas[scope],
  }).optional();
}

/** What a pipeline submits. Scopes left out stay as they are. */
export const ManifestSchema = z.strictObject({
  submissionId: z.string().min(1).max(200),
  /** Permits a change that leaves a model without a live replica. */
  allowModelWithoutReplica: z.boolean().default(false),
  scopes: z.strictObject({
    deployment: scopeSubmission("deployment"),
    workspaces: scopeSubmission("workspaces"),
    endpoints: scopeSubmission("endpoints"),
    roles: scopeSubmission("roles"),
  }),
});

/** A checked manifest. */
export type Manifest = z.infer<typeof ManifestSchema>;

/** Which body of a scope is in force, and since which version. */
export interface ScopeHead {
  readonly version: number;
  readonly digest: Digest;
  /** The nearest version whose whole body is stored; absent where this one's is. */
  readonly base?: { readonly version: number; readonly digest: Digest };
}

/** The row that says which configuration is accepted. */
export interface ConfigurationHead {
  /** Rises by one with each accepted manifest. */
  readonly version: number;
  readonly scopes: { readonly [S in Scope]?: ScopeHead };
  /** Names the object that holds the change from the version before. */
  readonly change?: Digest;
}

/** What one accepted manifest changed in one scope. */
export type ScopeChange =
  | { readonly kind: "whole"; readonly body: unknown }
  | {
    readonly kind: "items";
    /** Items that are new or differ, in whole. */
    readonly put: readonly unknown[];
    readonly removed: readonly string[];
  };

/** What one accepted manifest changed. */
export interface ConfigurationChange {
  /** The head that it made; its version is one above the version before. */
  readonly head: ConfigurationHead;
  readonly scopes: { readonly [S in Scope]?: ScopeChange };
}

/** One line of the history of accepted manifests. */
export interface HistoryEntry {
  readonly version: number;
  readonly submissionId: string;
  /** On the accepting VM's wall clock. */
  readonly acceptedAtMs: number;
  readonly vm: VmId;
  readonly changed: readonly Scope[];
  readonly head: ConfigurationHead;
}

/** The row that makes a repeated submission give its first outcome. */
export interface SubmissionRow {
  readonly version: number;
  readonly manifestDigest: Digest;
}

/** One thing wrong with a manifest. */
export interface ManifestError {
  readonly path: string;
  readonly message: string;
}

/** A scope that was changed since the version that a manifest was made from. */
export interface ScopeConflict {
  readonly scope: Scope;
  readonly basedOn: number;
  readonly current: number;
  /** What the submission would have overwritten, one line each. */
  readonly difference: readonly string[];
}

/** A configuration as a VM holds it. */
export interface Configuration {
  readonly head: ConfigurationHead;
  readonly bodies: Readonly<ScopeBodies>;
}

/** What became of a submission. */
export type SubmissionOutcome =
  | {
    readonly kind: "accepted";
    readonly version: number;
    /** VMs that hold it, the accepting one included. */
    readonly holders: number;
    /** Data centres of those VMs. */
    readonly holderDataCentres: number;
  }
  | { readonly kind: "conflict"; readonly conflicts: readonly ScopeConflict[] }
  | { readonly kind: "invalid"; readonly errors: readonly ManifestError[] }
  | {
    /** Committed, but too few VMs hold it yet; submitting the same id again tells. */
    readonly kind: "pending";
    readonly version: number;
    readonly holders: number;
    readonly retryAfterMs: number;
  }
  | {
    /** The commit's outcome isn't known; submitting the same id again tells it. */
    readonly kind: "unknown";
    readonly retryAfterMs: number;
  }
  | { readonly kind: "unavailable"; readonly retryAfterMs: number };

/** What a check of a manifest found, without submitting it. */
export type ManifestCheck =
  /** It would be accepted now; the lines say what it would change. */
  | { readonly kind: "valid"; readonly difference: readonly string[] }
  | Extract<
    SubmissionOutcome,
    { kind: "conflict" | "invalid" | "unavailable" | "unknown" }
  >;

/** The version that a VM has in force; null where it doesn't answer. */
export interface ActiveVersion {
  readonly vm: VmId;
  readonly dataCentre: DataCentre;
  readonly state: string;
  readonly version: number | null;
}
