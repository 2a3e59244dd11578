/** Grants: a decode slot reserved for the time at which the prefill's result arrives. */
import type {
  EndpointId,
  GrantId,
  ModelName,
  RequestKey,
  StreamId,
  VmId,
  WorkspaceId,
} from "../common/ids.ts";
import type { Endpoint } from "../configuration/types.ts";
import type { NotRunReason } from "../common/verdict.ts";

/** What an owner asks of a shard's home. */
export interface GrantRequest {
  readonly key: RequestKey;
  readonly stream: StreamId;
  readonly owner: VmId;
  readonly workspace: WorkspaceId;
  readonly model: ModelName;
  readonly promptTokens: number;
  /** Chained hashes of the prompt's leading blocks. */
  readonly blocks: readonly string[];
  readonly maxTokens: number;
  /** Time left until the first token is due; negative when past. */
  readonly firstTokenInMs: number;
  /** Time left until the caller stops waiting. */
  readonly deadlineInMs: number;
  /** Replicas that a retry should not get again. */
  readonly avoid: readonly EndpointId[];
  /** Runs with no other request on the replicas, for suspects. */
  readonly alone: boolean;
  /** Name of the shard that is asked; the model's first when left out. */
  readonly shard?: string;
}

/** A shard home's answer. */
export type GrantAnswer =
  | {
    readonly kind: "granted";
    readonly grant: GrantId;
    readonly prefill: EndpointId;
    readonly decode: EndpointId;
    /** How long to wait before the prefill is ordered. */
    readonly startInMs: number;
    readonly cachedTokens: number;
    readonly memoryPieces: number;
  }
  | {
    readonly kind: "refused";
    readonly reason: NotRunReason;
    readonly retryAfterMs: number;
  };

/** What an owner tells the home as a run goes on. */
export type GrantProgress =
  | { readonly kind: "prefillStarted" }
  | { readonly kind: "prefillEnded" }
  | { readonly kind: "decodeStarted" }
  | { readonly kind: "ended"; readonly generatedTokens: number }
  | { readonly kind: "failed"; readonly endpoint: EndpointId };

/** A part of a model's pool, whose home grants its slots. */
export interface ShardPlan {
  /** Name inside the region, also the key of its home. */
  readonly name: string;
  readonly model: ModelName;
  readonly prefills: readonly Endpoint[];
  readonly decodes: readonly Endpoint[];
}

/** A grant as the owner that holds it registers it again at a new home. */
export interface HeldGrant {
  readonly request: GrantRequest;
  readonly prefill: EndpointId;
  readonly decode: EndpointId;
  readonly grant: GrantId;
  readonly phase: "prefill" | "transfer" | "decode";
  readonly generatedTokens: number;
}
