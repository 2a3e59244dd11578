/** Interface to model engines. `docs/engine-protocol.md` has the HTTP form. */
import type { Result } from "neverthrow";
import type {
  EndpointId,
  Incarnation,
  ModelName,
  RequestKey,
  StreamId,
  VmId,
} from "../common/ids.ts";

/** Id and network address of an endpoint. */
export interface EndpointRef {
  readonly id: EndpointId;
  /** Host and port, `host:port`. */
  readonly address: string;
}

/** A prompt with the data that the router derives from it. */
export interface Prompt {
  readonly text: string;
  readonly tokens: number;
  /** Chained hashes of the leading token blocks, for prefix matching. */
  readonly blocks: readonly string[];
}

/** The VM that owns a run. Engines return it in their load reports. */
export interface RunOwner {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
}

/** Orders a prefill and the export of its result. */
export interface PrefillOrder {
  readonly stream: StreamId;
  readonly key: RequestKey;
  readonly owner: RunOwner;
  readonly model: ModelName;
  readonly prompt: Prompt;
  /** The engine runs higher priorities first. */
  readonly priority: number;
}

/** A finished prefill, which the engine keeps for `keptMs`. */
export interface PrefillResult {
  readonly cachedTokens: number;
  readonly sizeBytes: number;
  /** Number of KV cache blocks of the result. */
  readonly memoryPieces: number;
  readonly keptMs: number;
}

/** Orders a decode engine to import a prefill's result and generate tokens. */
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

/** Attaches to a run at a token offset; higher epochs supersede lower ones. */
export interface AttachOrder {
  readonly stream: StreamId;
  readonly owner: RunOwner;
  readonly offset: number;
  readonly epoch: number;
}

/**
 * Why an engine call failed. Only `notSent` and `rejected` prove that nothing
 * was started.
 */
export type EngineFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "rejected"; readonly code: EngineRejection }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** Why an engine rejected a call. */
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

/** An event of an attached run. */
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

/**
 * Receives the events of one attachment, in order. No event follows `end` or
 * `failed`.
 */
export type StreamSink = (event: StreamEvent) => void;

/** An open attachment. */
export interface Attachment {
  /** Stops receiving. The run itself continues until it is cancelled. */
  detach(): void;
  /** Pauses receiving, for a caller that reads slowly. */
  pause(): void;
  /** Resumes receiving after `pause`. */
  resume(): void;
}

/** A run for which an engine holds memory. */
export interface HeldRun {
  readonly stream: StreamId;
  readonly key: RequestKey;
  readonly owner: RunOwner;
  /** Number of KV cache blocks that the run occupies. */
  readonly memoryPieces: number;
  /** Tokens generated so far; 0 at a prefill engine. */
  readonly generatedTokens: number;
}

/** An engine's load report. It may be old when it arrives. */
export interface LoadReport {
  readonly endpoint: EndpointId;
  /** Identifies one start of the engine; a restart changes it. */
  readonly boot: string;
  /** Age of the report, measured by the engine's clock. */
  readonly ageMs: number;
  readonly state: "live" | "leaving";
  readonly role: "prefill" | "decode";
  readonly models: readonly string[];
  readonly adapters?: readonly string[];
  readonly modelVersion?: string;
  /** True while the engine loads weights; it serves nothing meanwhile. */
  readonly loading?: boolean;
  readonly slots: number;
  /** Number of KV cache blocks of the engine, free and occupied. */
  readonly memoryPieces: number;
  readonly runs: readonly HeldRun[];
  /** Queued prefill work, in tokens; 0 at a decode engine. */
  readonly queuedTokens: number;
}

/** A change of an engine's prefix cache. */
export interface CacheEvent {
  /** Increases by one per event; a gap means that events were lost. */
  readonly sequence: number;
  readonly kind: "added" | "removed";
  readonly block: string;
}

/**
 * An order that sets parts of an engine's state to absolute values, for
 * example its role to decode.
 */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly role?: "prefill" | "decode";
  readonly model?: string;
  readonly adapters?: readonly string[];
  readonly modelVersion?: string;
}

/** Options of an engine call. */
export interface EngineCallOptions {
  /** Limits the whole call; for `start` and `attach`, the time between two events. */
  timeoutMs: number;
  /** Uses a new connection instead of a pooled one. */
  fresh?: boolean;
}

/** Calls to model engines. */
export interface EnginePort {
  prefill(
    endpoint: EndpointRef,
    order: PrefillOrder,
    options: EngineCallOptions,
  ): Promise<Result<PrefillResult, EngineFailure>>;
  /** Starts a run and attaches to it at offset 0 with epoch 1. */
  start(
    endpoint: EndpointRef,
    order: DecodeOrder,
    options: EngineCallOptions & { sink: StreamSink },
  ): Attachment;
  /** Attaches to a run that was started earlier. */
  attach(
    endpoint: EndpointRef,
    order: AttachOrder,
    options: EngineCallOptions & { sink: StreamSink },
  ): Attachment;
  /**
   * Frees everything that a run holds at the engine. If the run has not arrived
   * yet, the engine refuses it on arrival.
   */
  cancel(
    endpoint: EndpointRef,
    stream: StreamId,
    options: EngineCallOptions,
  ): Promise<Result<void, EngineFailure>>;
  report(
    endpoint: EndpointRef,
    options: EngineCallOptions,
  ): Promise<Result<LoadReport, EngineFailure>>;
  /** Fetches the cache events after a sequence number, oldest first. */
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
