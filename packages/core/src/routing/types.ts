/** Routes, services and endpoints as the router knows them. */
import type {
  DataCentre,
  EndpointId,
  Id,
  ModelName,
  ServiceName,
} from "../common/ids.ts";

/** The name of a route. */
export type RouteName = Id<"route">;
/** One attempt of a caller, as the caller names it. */
export type AttemptId = Id<"attempt">;
/** A slot and memory that a decode endpoint keeps for one request. */
export type ReservationId = Id<"reservation">;
/** KV cache that a prefill endpoint keeps for one request. */
export type KvHandle = Id<"kv-cache">;

/**
 * What may be done again: `safe` requests may run more than once, `unsafe` ones
 * run at most once, `stream` ones are answered with events.
 */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service that takes a share of a route's requests. */
export interface Destination {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Where requests of one host and path prefix go. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly Destination[];
  /** The longest time that a request is kept waiting. */
  readonly timeoutMs: number;
  /** The time within which an answer, or a stream's first event, is on time. */
  readonly targetLatencyMs: number;
  /** 0 is the highest. */
  readonly priority: number;
  /** How many endpoints may run one attempt of a caller. */
  readonly maxAttempts: number;
  /** Whether a stream may go on at another endpoint after its last event. */
  readonly resumable: boolean;
  /** The longest pause between events for which a stream is on time. */
  readonly maxEventGapMs: number | null;
}

/** What all engines of a service have in common. */
export interface EnginePool {
  readonly slots: number;
  readonly kvTokens: number;
  readonly kvTokenBytes: number;
  readonly linkMbps: number;
  /** How long a prefill's KV cache is kept for its decode. */
  readonly handleTtlMs: number;
  /** How long an engine is away when it changes its stage. */
  readonly reconfigureMs: number;
  /** The longest time that a reservation may last. */
  readonly reservationTtlMs: number;
  readonly models: readonly ModelName[];
}

/** A group of endpoints that do the same. */
export interface Service {
  readonly name: ServiceName;
  readonly maxConnections: number;
  /** Null for plain services. */
  readonly engines: EnginePool | null;
}

/** What callers may send. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headersMs: number;
  readonly idleMs: number;
}

/** A whole configuration of the router. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
}

/** What an engine does: read prompts, or make tokens. */
export type Stage = "prefill" | "decode";

/** What the directory of endpoints says of one. */
export interface EndpointEntry {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: string;
  readonly dataCentre: DataCentre;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Null for plain services. */
  readonly stage: Stage | null;
  /** Start of this incarnation, which tells a restart under the same id. */
  readonly bornAtMs: number;
}

/** A change in the directory of endpoints; a null entry was removed or can't be read. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly entry: EndpointEntry | null;
}

/** A part of a prompt, shared by the requests that begin with it. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What a request says of its prompt. */
export interface PromptFields {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate, which is often far off. */
  readonly expectedOutputTokens: number | null;
  readonly parts: readonly PromptPart[];
}

/** A caller's request, read whole. */
export interface RoutedRequest {
  readonly id: AttemptId;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly target: string;
  /** Names and values in turn, as sent. */
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
  /** When its first byte was read, on the monotonic clock. */
  readonly receivedAtMs: number;
  /** How long the caller waits, from `receivedAtMs` on. */
  readonly callerTimeoutMs: number | null;
  readonly lastEventId: string | null;
  /** Null where the request names no prompt. */
  readonly prompt: PromptFields | null;
}

/** Whether a request of a route may run more than once. */
export function isRetryable(route: Route): boolean {
  return route.kind === "safe" || route.kind === "stream" && route.resumable;
}
