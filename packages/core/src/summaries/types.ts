/** Summaries: streamed answers of model engines. */
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

/** A summary as it comes from a caller. */
export interface SummaryRequest {
  readonly workspace: WorkspaceId;
  readonly caller: CallerId;
  readonly request: RequestId;
  readonly model: ModelName;
  readonly prompt: string;
  readonly maxTokens: number;
  /** First token that the caller wants; above 0 when it resumes. */
  readonly fromOffset: number;
  /** When the caller stops waiting, on the clock of `Date.now`. */
  readonly deadlineAtMs: number;
}

/** What a caller's connection receives. `end` or `refused` comes once and last. */
export type SummaryEvent =
  | Extract<StreamEvent, { kind: "tokens" }>
  | Extract<StreamEvent, { kind: "end" }>
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Receives a summary's events. */
export type SummarySink = (event: SummaryEvent) => void;

/** A caller's hold on its summary. */
export interface SummaryHandle {
  readonly key: RequestKey;
  /** The caller is gone; all that the summary holds is freed. */
  cancel(): void;
  /** Pauses and resumes the events, for a caller that reads slowly. */
  pause(): void;
  resume(): void;
}

/** Where a summary runs, as its key's home keeps it. */
export interface Registration {
  readonly key: RequestKey;
  readonly caller: CallerId;
  readonly bodyDigest: Digest;
  readonly owner: RunOwner;
  /** Rises with each owner's take-over. */
  readonly epoch: number;
  readonly state: "running" | "answered" | "cancelled";
  /** The run at the engine, once there is one. */
  readonly run: RunLocation | null;
}

/** Where a run is held. */
export interface RunLocation {
  readonly stream: StreamId;
  readonly prefill: EndpointRef | null;
  readonly decode: EndpointRef | null;
  /** The shard home's grant, which whoever ends the run gives back. */
  readonly grant?: GrantId;
}
