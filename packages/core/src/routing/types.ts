/** Data types of routing: routes, services, endpoints and requests. */
import {
  asId,
  type DataCentre,
  type Digest,
  type EndpointId,
  type Id,
  type ModelName,
  type ServiceName,
  type WorkspaceId,
} from "../common/ids.ts";

import type { Hop } from "./links/types.ts";
import type { RoutingWorkspace } from "./workspaces/types.ts";

/** Name of a route. */
export type RouteName = Id<"route">;
/** Id of one attempt, chosen by the caller. */
export type AttemptId = Id<"attempt">;
/** Id of a slot and memory that a decode endpoint holds for one request. */
export type ReservationId = Id<"reservation">;
/** One start of an endpoint. */
export type EndpointIncarnation = Id<"endpoint-incarnation">;
/** Version of an endpoint's software; versions have no order. */
export type SoftwareVersion = Id<"software-version">;
/** Id of KV cache that a prefill endpoint holds for one request. */
export type KvHandle = Id<"kv-cache">;

/**
 * How requests of a route may be retried: `safe` ones may run more than once,
 * `unsafe` ones at most once, `stream` ones are answered with events.
 */
export type RouteKind = "safe" | "unsafe" | "stream";

/** A service that receives a share of a route's requests, by weight. */
export interface Destination {
  readonly service: ServiceName;
  readonly weight: number;
}

/** Destinations, limits and targets for requests with one host and path prefix. */
export interface Route {
  readonly name: RouteName;
  readonly host: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly destinations: readonly Destination[];
  /** Maximum time until a request is answered or refused. */
  readonly timeoutMs: number;
  /** Latency target for an answer, or for a stream's first event. */
  readonly targetLatencyMs: number;
  /** Priority; 0 is the highest. */
  readonly priority: number;
  /** Maximum endpoints that may run one attempt of a caller. */
  readonly maxAttempts: number;
  /** Whether a stream may continue at another endpoint after its last event. */
  readonly resumable: boolean;
  /** Target for the gap between events of a stream; null if there is none. */
  readonly maxEventGapMs: number | null;
  /** Whether its requests need no key. */
  readonly isPublic?: boolean;
}

/** Properties shared by all engines of a service. */
export interface EnginePool {
  readonly slots: number;
  /** KV cache capacity of an engine, in tokens. */
  readonly kvTokens: number;
  readonly kvTokenBytes: number;
  /** Tokens that an engine generates for each event of a stream. */
  readonly tokensPerEvent: number;
  readonly linkMbps: number;
  /** How long a prefill's KV cache is kept for its decode. */
  readonly handleTtlMs: number;
  /** How long an engine is unavailable when it changes its stage. */
  readonly reconfigureMs: number;
  /** Maximum lifetime of a reservation. */
  readonly reservationTtlMs: number;
  readonly models: readonly ModelName[];
}

/** A group of interchangeable endpoints. */
export interface Service {
  readonly name: ServiceName;
  readonly maxConnections: number;
  /** Path at which its endpoints report their health; null if there is none. */
  readonly healthPath: string | null;
  /** Null for services without engines. */
  readonly engines: EnginePool | null;
}

/** Limits on the size and timing of callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  /** Timeout for reading the headers of a request. */
  readonly headersMs: number;
  /** How long a connection stays open between two requests. */
  readonly idleMs: number;
}

/** One version of the router's complete configuration. */
export interface RoutingTable {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
  /** Undefined if callers need no keys. */
  readonly workspaces?: readonly RoutingWorkspace[];
}

/** Role of an engine: computing the KV cache of prompts, or generating tokens. */
export type Stage = "prefill" | "decode";

/** Entry of an endpoint in the directory. */
export interface EndpointEntry {
  readonly id: EndpointId;
  readonly service: ServiceName;
  readonly address: string;
  readonly dataCentre: DataCentre;
  readonly slots: number;
  readonly state: "ready" | "draining";
  /** Null for services without engines. */
  readonly stage: Stage | null;
  readonly softwareVersion: SoftwareVersion;
  /** Start time of this incarnation; distinguishes a restart under the same id. */
  readonly bornAtMs: number;
}

/** Start time of endpoints whose entries state none. */
export const NO_START_TIME = 0;

/** Returns the key of one start of an endpoint. */
export function incarnationOf(
  { id, bornAtMs }: Pick<EndpointEntry, "id" | "bornAtMs">,
): EndpointIncarnation {
  return asId(`${id} ${bornAtMs}`);
}

/**
 * Whether an answer came from the incarnation of an entry, by the start time that it
 * states; null if it states none. Endpoints whose entries state none have one incarnation.
 */
export function isFromIncarnation(
  { bornAtMs }: Pick<EndpointEntry, "bornAtMs">,
  answeredBornAtMs: number | null,
): boolean {
  return bornAtMs === NO_START_TIME || bornAtMs === answeredBornAtMs;
}

/** Whether an entry fits its service; `service` is undefined if the configuration has none of that name. */
export function fitsService(
  { stage }: EndpointEntry,
  service: Service | undefined,
): boolean {
  return service !== undefined &&
    (stage !== null) === (service.engines !== null);
}

/** A change in the directory of endpoints; a null entry was removed or can't be read. */
export interface EndpointChange {
  readonly id: EndpointId;
  readonly entry: EndpointEntry | null;
}

/** A block of a prompt, shared by the requests whose prompts begin with the same blocks. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** Prompt fields that a request declares. */
export interface PromptFields {
  readonly model: string;
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate, which is often far off. */
  readonly expectedOutputTokens: number | null;
  readonly parts: readonly PromptPart[];
}

/** A caller's request, read completely. */
export interface RoutedRequest {
  readonly id: AttemptId;
  readonly method: string;
  readonly host: string;
  /** Path and query, as sent. */
  readonly target: string;
  /** Names and values alternating, as sent. */
  readonly rawHeaders: readonly string[];
  readonly body: Uint8Array;
  /** When its headers had been read, on the monotonic clock. */
  readonly receivedAtMs: number;
  /** How long the caller waits, from `receivedAtMs` on; null if it gave no limit. */
  readonly callerTimeoutMs: number | null;
  /** Id of the event after which the caller resumes a stream; null for a new one. */
  readonly lastEventId: string | null;
  /** The attempt that brought the first event of the resumed stream; null if not given. */
  readonly resumes: AttemptId | null;
  /** Null if the request has no prompt. */
  readonly prompt: PromptFields | null;
  /** Prompt tokens and maximum output tokens together; undefined without a valid count. */
  readonly tokenCount?: number;
  /** The workspace of its key; undefined if it has none. */
  readonly workspace?: WorkspaceId;
  /** Digest of its key; undefined if it has no workspace. */
  readonly keyDigest?: Digest;
  /** The priority of its workspace; undefined if its route's priority applies. */
  readonly priority?: number;
  /** Version of the routing table under which the request was accepted. */
  readonly tableVersion?: number;
  /** Set if another VM sent the request on to this one, which must serve it itself. */
  readonly hop?: Hop;
}

/** Whether requests of a route may run more than once. */
export function isRetryable(route: Route): boolean {
  return route.kind === "safe" || route.kind === "stream" && route.resumable;
}
