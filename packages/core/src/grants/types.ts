/**
 * Types of grants. A grant reserves a decode slot for the time at which the
 * prefill's result arrives.
 */
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

/** Request for a grant, sent by the owner of a request to the home of a shard. */
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
  /** Time left until the first token is due; negative if that has passed. */
  readonly firstTokenInMs: number;
  /** Time left until the caller's deadline. */
  readonly deadlineInMs: number;
  /** Replicas that must not be granted, as an earlier attempt failed there. */
  readonly avoid: readonly EndpointId[];
  /** Whether to run isolated, with no other request on the replicas; for suspects. */
  readonly alone: boolean;
  /** Name of the shard; defaults to the model's first. */
  readonly shard?: string;
}

/** A shard home's answer to a grant request. */
export type GrantAnswer =
  | {
    readonly kind: "granted";
    readonly grant: GrantId;
    readonly prefill: EndpointId;
    readonly decode: EndpointId;
    /** How long the owner waits before it orders the prefill. */
    readonly startInMs: number;
    /** Prompt tokens that the prefill replica probably has cached. */
    readonly cachedTokens: number;
    /** KV cache blocks that the prompt occupies at the decode replica. */
    readonly memoryPieces: number;
  }
  | {
    readonly kind: "refused";
    readonly reason: NotRunReason;
    /** Minimum time before a retry makes sense. */
    readonly retryAfterMs: number;
  };

/** Progress of a granted run, sent by its owner to the shard's home. */
export type GrantProgress =
  | { readonly kind: "prefillStarted" }
  | { readonly kind: "prefillEnded" }
  | { readonly kind: "decodeStarted" }
  | { readonly kind: "ended"; readonly generatedTokens: number }
  | { readonly kind: "failed"; readonly endpoint: EndpointId };

/** A group of a model's replicas whose slots are granted by one home. */
export interface ShardPlan {
  /** Name, unique within the region; the home's key is derived from it. */
  readonly name: string;
  readonly model: ModelName;
  readonly prefills: readonly Endpoint[];
  readonly decodes: readonly Endpoint[];
}

/** A grant that its owner registers again when the shard gets a new home. */
export interface HeldGrant {
  readonly request: GrantRequest;
  readonly prefill: EndpointId;
  readonly decode: EndpointId;
  readonly grant: GrantId;
  readonly phase: "prefill" | "transfer" | "decode";
  readonly generatedTokens: number;
}
