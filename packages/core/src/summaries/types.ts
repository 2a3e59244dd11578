/**
 * Types of summaries. A summary is one caller's request whose answer a model
 * engine streams, token by token.
 */
import type { EndpointRef, RunOwner, StreamEvent } from "../ports/engines.ts";
import type {
  CallerId,
  Digest,
  GrantId,
  ModelName,
  RequestId,
  RequestKey,
  StreamId,
  WorkspaceId,
} from "../common/ids.ts";
import type { Refusal } from "../common/verdict.ts";

/** A summary request as received from a caller. */
export interface SummaryRequest {
  readonly workspace: WorkspaceId;
  readonly caller: CallerId;
  readonly request: RequestId;
  readonly model: ModelName;
  readonly prompt: string;
  readonly maxTokens: number;
  /** Index of the first token to send; above 0 when the caller resumes. */
  readonly fromOffset: number;
  /** When the caller stops waiting, in milliseconds of `Date.now`. */
  readonly deadlineAtMs: number;
}

/**
 * An event sent to the caller's connection. `end` or `refused` is sent once, as
 * the last event.
 */
export type SummaryEvent =
  | Extract<StreamEvent, { kind: "tokens" }>
  | Extract<StreamEvent, { kind: "end" }>
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Receives a summary's events. */
export type SummarySink = (event: SummaryEvent) => void;

/** Controls a summary on behalf of one connection of its caller. */
export interface SummaryHandle {
  readonly key: RequestKey;
  /**
   * Ends the summary and frees its resources, as when the caller disconnects.
   */
  cancel(): void;
  /** Pauses the events, for a caller that reads slowly. */
  pause(): void;
  /** Resumes the events after `pause`. */
  resume(): void;
}

/**
 * Which VM runs a summary, and where. The home of the summary's key stores it;
 * the home is the VM that rendezvous hashing picks for the key.
 */
export interface Registration {
  readonly key: RequestKey;
  readonly caller: CallerId;
  readonly bodyDigest: Digest;
  readonly owner: RunOwner;
  /** Increases with each takeover by another owner. */
  readonly epoch: number;
  readonly state: "running" | "answered" | "cancelled";
  /** The run at the engine; null before it has started. */
  readonly run: RunLocation | null;
}

/** The replicas that a run uses. */
export interface RunLocation {
  readonly stream: StreamId;
  readonly prefill: EndpointRef | null;
  readonly decode: EndpointRef | null;
  /** The shard home's grant; the VM that ends the run releases it. */
  readonly grant?: GrantId;
}
