/** Grants: a decode slot reserved for the time at which the prefill's result arrives. */
import type {
  EndpointId,
  GrantId,
  ModelName,
  RequestKey,
  StreamId,
  VmId,
  WorkspaceId,
} from "../shared/ids.ts";
import type { NotRunReason } from "../shared/verdict.ts";

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
