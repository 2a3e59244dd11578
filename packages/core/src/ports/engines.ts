/** Model engines as the system sees them. `docs/engine-protocol.md` gives the HTTP form. */
import type { Result } from "neverthrow";
import type {
  EndpointId,
  Incarnation,
  ModelName,
  RequestKey,
  StreamId,
  VmId,
} from "../common/ids.ts";

/** Where an engine is reached. */
export interface EndpointRef {
  readonly id: EndpointId;
  /** Host and port. */
  readonly address: string;
}

/** A prompt with what the router derives of it. */
export interface Prompt {
  readonly text: string;
  readonly tokens: number;
  /** Chained hashes of the leading blocks, for prefix matching. */
  readonly blocks: readonly string[];
}

/** The VM that owns a run, as the engine's load reports repeat it. */
export interface RunOwner {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}

/** Orders a prefill whose result is exported. */
export interface PrefillOrder {
  readonly stream: StreamId;
  readonly key: RequestKey;
  readonly owner: RunOwner;
  readonly model: ModelName;
  readonly prompt: Prompt;
  /** Higher goes first inside the engine. */
  readonly priority: number;
}

/** A finished prefill, kept at the engine for `keptMs`. */
export interface PrefillResult {
  readonly cachedTokens: number;
  readonly sizeBytes: number;
  readonly memoryPieces: number;
  readonly keptMs: number;
}

/** Orders a decode engine to import a prefill's result and to generate. */
export interface DecodeOrder {
  readonly stream: StreamId;
  readonly key: RequestKey;
  readonly owner: RunOwner;
  readonly model: ModelName;
  readonly prompt: Prompt;
  readonly from: EndpointRef;
  readonly maxTokens: number;
  readonly priority: number;
}

/** Attaches to a run at a token offset; a higher epoch supersedes a lower one. */
export interface AttachOrder {
  readonly stream: StreamId;
  readonly owner: RunOwner;
  readonly offset: number;
  readonly epoch: number;
}

/** Why an engine call failed. Only `notSent` and `rejected` prove that nothing was started. */
export type EngineFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "rejected"; readonly code: EngineRejection }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** Why an engine refused. */
export type EngineRejection =
  | "full"
  | "leaving"
  | "cancelled"
  | "unknown-stream"
  | "unknown-model"
  | "export-gone"
  | "transfer-failed"
  | "superseded"
  | "fenced"
  | "bad-order";

/** What an attached run sends. */
export type StreamEvent =
  | { readonly kind: "started" }
  | {
    readonly kind: "tokens";
    /** Offset of the first token of this event in the answer. */
    readonly offset: number;
    readonly texts: readonly string[];
  }
  | {
    readonly kind: "end";
    readonly totalTokens: number;
    readonly finish: "stop" | "length";
  }
  | { readonly kind: "failed"; readonly failure: EngineFailure };

/** Receives the events of one attachment, in order. Nothing follows `end` or `failed`. */
export type StreamSink = (event: StreamEvent) => void;

/** An open attachment. */
export interface Attachment {
  /** Stops receiving. The run itself goes on until it is cancelled. */
  detach(): void;
  /** Pauses and resumes receiving, for callers that read slowly. */
  pause(): void;
  resume(): void;
}

/** A run that an engine holds memory for. */
export interface HeldRun {
  readonly stream: StreamId;
  readonly key: RequestKey;
  readonly owner: RunOwner;
  readonly memoryPieces: number;
  /** Tokens generated so far; 0 at a prefill engine. */
  readonly generatedTokens: number;
}

/** A load report. It may be old when it arrives. */
export interface LoadReport {
  readonly endpoint: EndpointId;
  /** The engine's own start, so that a restart shows. */
  readonly boot: string;
  /** How long ago the report was taken, by the engine's clock. */
  readonly ageMs: number;
  readonly state: "live" | "leaving";
  readonly role: "prefill" | "decode";
  readonly models: readonly string[];
  readonly adapters?: readonly string[];
  readonly modelVersion?: string;
  /** Whether weights are being loaded; the engine serves nothing meanwhile. */
  readonly loading?: boolean;
  readonly slots: number;
  readonly memoryPieces: number;
  readonly runs: readonly HeldRun[];
  /** Prefill work that waits, in tokens; 0 at a decode engine. */
  readonly queuedTokens: number;
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  /** Counts up by one; a missing number means that events were lost. */
  readonly sequence: number;
  readonly kind: "added" | "removed";
  readonly block: string;
}

/** An absolute order to an engine, for instance "role is decode". */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly role?: "prefill" | "decode";
  readonly model?: string;
  readonly adapters?: readonly string[];
  readonly modelVersion?: string;
}

/** Options of an engine call. */
export interface EngineCallOptions {
  timeoutMs: number;
  /** Uses a connection that no earlier call has used. */
  fresh?: boolean;
}

/** All that the system asks of model engines. */
export interface EnginePort {
  prefill(
    endpoint: EndpointRef,
    order: PrefillOrder,
    options: EngineCallOptions,
  ): Promise<Result<PrefillResult, EngineFailure>>;
  /** Starts a run and attaches to it at offset 0 and epoch 1. */
  start(
    endpoint: EndpointRef,
    order: DecodeOrder,
    options: EngineCallOptions & { sink: StreamSink },
  ): Attachment;
  /** Attaches to a run that was started before. */
  attach(
    endpoint: EndpointRef,
    order: AttachOrder,
    options: EngineCallOptions & { sink: StreamSink },
  ): Attachment;
  /** Frees all that a run holds here; if it has not arrived yet, it is refused when it does. */
  cancel(
    endpoint: EndpointRef,
    stream: StreamId,
    options: EngineCallOptions,
  ): Promise<Result<void, EngineFailure>>;
  report(
    endpoint: EndpointRef,
    options: EngineCallOptions,
  ): Promise<Result<LoadReport, EngineFailure>>;
  /** Cache events after a sequence number, oldest first. */
  cacheEvents(
    endpoint: EndpointRef,
    after: number,
    options: EngineCallOptions,
  ): Promise<Result<readonly CacheEvent[], EngineFailure>>;
  order(
    endpoint: EndpointRef,
    order: EngineOrder,
    options: EngineCallOptions,
  ): Promise<Result<void, EngineFailure>>;
}
