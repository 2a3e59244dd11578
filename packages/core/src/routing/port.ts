/** Interface through which the router calls endpoints. */
import type { Result } from "neverthrow";
import type { StreamOrigin } from "./stream_origins.ts";
import {
  type EndpointEntry,
  type EndpointIncarnation,
  isFromIncarnation,
  type KvHandle,
  type ReservationId,
  type RoutedRequest,
  type Stage,
} from "./types.ts";

const CHECK_TIMEOUT_MS = 500;
/** Answers that aren't passed on as they arrive are collected whole; larger ones fail. */
export const ANSWER_LIMIT_BYTES = 8 * 1_024 * 1_024;

/** How a request sent to an endpoint failed. */
export type SendFailure =
  /**
   * No byte of the request was sent; `refused` if the endpoint's address refuses
   * connections, which means that the endpoint isn't running.
   */
  | {
    readonly kind: "notSent";
    readonly refused?: boolean;
    /** What failed, for the log. */
    readonly detail?: string;
  }
  /** The endpoint answered that it did not run the request. */
  | { readonly kind: "notExecuted"; readonly status: number }
  /** Not sent, because the limit that the endpoint names is used up. */
  | { readonly kind: "limited"; readonly retryAfterMs: number }
  /** The address belongs to another endpoint, which did not run the request. */
  | { readonly kind: "misdirected" }
  /** Another incarnation of the endpoint answered, by its start time; a reservation there isn't used. */
  | { readonly kind: "restarted"; readonly bornAtMs: number }
  /** The connection ended early, or the answer was malformed. */
  | {
    readonly kind: "lost";
    readonly detail: string;
    /** True if this VM ended an answer that went on for too long. */
    readonly isCut?: boolean;
  }
  | { readonly kind: "timeout" }
  /** The caller disconnected, or the router cancelled the send. */
  | { readonly kind: "aborted" };

/** An answer that is collected whole went beyond its limit, or that of all messages. */
export const TOO_LARGE = {
  kind: "lost",
  detail: "The answer is too large",
} as const satisfies SendFailure;

/** Returns what a failure says beyond its kind, for the log. */
export function detailOf(failure: SendFailure): string | undefined {
  return "detail" in failure ? failure.detail : undefined;
}

/** Whether a failure is the answer of an endpoint, which was therefore reached. */
export function isAnswer({ kind }: SendFailure): boolean {
  return kind === "notExecuted" || kind === "misdirected" ||
    kind === "restarted";
}

/** One send of a request to one endpoint. */
export interface Send {
  readonly request: RoutedRequest;
  /** How long the endpoint may work on the request; sent along with it. */
  readonly timeLeftMs: number;
  /** Timeout for the first byte of the answer. */
  readonly firstByteMs: number;
  /** Timeout for the whole answer; unlimited if absent. */
  readonly wholeMs?: number;
  /** Cancels the send at once. */
  readonly signal: AbortSignal;
  /** From 0, served first, to 9, served last. */
  readonly urgency?: number;
  /** Id of the event after which the stream is to continue. */
  readonly lastEventId?: string | null;
  readonly reservation?: ReservationId | null;
  /** Where the decode endpoint fetches the prompt's KV cache. */
  readonly kvSource?: KvSource | null;
}

/** Location of a prompt's KV cache at a prefill endpoint. */
export interface KvSource {
  readonly address: string;
  readonly handle: KvHandle;
}

/** Status and headers of an answer. */
export interface AnswerHead {
  readonly status: number;
  /** Pairs of name and value, without hop-by-hop headers. */
  readonly headers: readonly [string, string][];
  /**
   * True if the body has neither a length nor chunks: the end of the connection is
   * the end of the body, which also happens if the endpoint crashes.
   */
  readonly endsWithConnection?: boolean;
  /** Where the stream runs; absent for the answers to calls. */
  readonly origin?: StreamOrigin;
  /** The endpoint that answers. */
  readonly endpoint?: EndpointIncarnation;
}

/** An answer that was read completely. */
export interface EndpointAnswer extends AnswerHead {
  readonly body: Uint8Array;
}

/** Receives an answer as it arrives. */
export interface StreamListener {
  onHead(head: AnswerHead): void;
  /** Receives bytes; returns false to pause the answer until `resume` is called. */
  onData(bytes: Uint8Array): boolean;
}

/** An answer that is being received. */
export interface EndpointStream {
  /** Resolves once the answer is complete or has failed. */
  readonly ended: Promise<Result<void, SendFailure>>;
  /** Continues after a pause. */
  resume(): void;
  /** Cancels the answer and closes its connection. */
  abort(): void;
}

/** Answer to a prefill: the handle of its KV cache, and the tokens in it. */
export interface PrefillAnswer {
  readonly handle: KvHandle;
  readonly tokens: number;
}

/** What an endpoint's answer to a call of the VM itself says about the endpoint. */
export interface IncarnationFields {
  /** Start time of the incarnation that answered; null if the answer doesn't state it. */
  readonly bornAtMs: number | null;
}

/** Answer to a reservation. */
export interface ReservationAnswer extends IncarnationFields {
  readonly id: ReservationId;
}

/** Options of {@link RoutedEndpointPort.reserve}. */
export interface ReserveOptions {
  readonly tokens: number;
  readonly ttlMs: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** Options of {@link RoutedEndpointPort.checkLink}. */
export interface CheckLinkOptions {
  /** Path at which the service's endpoints report their health; null if there is none. */
  readonly healthPath: string | null;
  readonly timeoutMs: number;
}

/** An order to an engine to change its stage. */
export interface StageOrder {
  readonly stage: Stage;
  /** The VM that gives the order. */
  readonly holder: string;
  readonly fencingNumber: number;
  /** Number of orders that the endpoint must have accepted before this one. */
  readonly expectedSequence: number;
  readonly timeoutMs: number;
}

/** An engine's report of its state, up to some hundred milliseconds old. */
export interface EngineReport {
  readonly stage: Stage;
  /** True while an order is being executed. */
  readonly busy: boolean;
  /** Number of orders accepted since the engine started. */
  readonly orderSequence: number;
}

/** Outcome of an order; one that is `lost` may still be executed later. */
export type OrderOutcome =
  | "accepted"
  | "conflict"
  | "fenced"
  | "refused"
  | "not-sent"
  | "lost";

/**
 * Returns whether this incarnation of an engine is running: false if its address refuses
 * connections or another incarnation answers there, undefined if that isn't known, as for
 * endpoints without reports. `onRestart` gets the start time of the other incarnation.
 */
export async function checkConnection(
  port: Pick<RoutedEndpointPort, "report">,
  entry: EndpointEntry,
  { onRestart }: { onRestart?: (answer: { bornAtMs: number }) => void } = {},
): Promise<boolean | undefined> {
  if (entry.stage === null) return undefined;
  const report = await port.report(entry, { timeoutMs: CHECK_TIMEOUT_MS });
  if (report.isOk()) {
    return isFromIncarnation(entry, report.value.bornAtMs) || undefined;
  }
  if (report.error.kind === "restarted") {
    onRestart?.(report.error);
    return false;
  }
  const isRefused = report.error.kind === "notSent" && report.error.refused;
  return isRefused ? false : undefined;
}

/** What an answer to any call says about its endpoint. */
export interface EndpointNotice {
  /**
   * Requests per second that it accepts from all VMs together; null for no limit,
   * undefined if the limit that it names can't be read.
   */
  readonly limitPerSecond: number | null | undefined;
  /** How long it wants no requests from this VM; null if it didn't say. */
  readonly pauseMs: number | null;
  /** True if it is about to stop and wants no further requests. */
  readonly isLeaving: boolean;
  /** The call that was answered, and whether it was refused; not every kind of answer names a limit. */
  readonly answerKind: string;
  /** When the call was sent, on the monotonic clock. */
  readonly sentAtMs: number;
}

/** Receives what the answers of endpoints say about them. */
export type NoticeListener = (
  endpoint: EndpointEntry,
  notice: EndpointNotice,
) => void;

/** Calls to endpoints. The port itself never retries one. */
export interface RoutedEndpointPort {
  /** Sends a request and reads the complete answer. */
  call(
    endpoint: EndpointEntry,
    send: Send,
  ): Promise<Result<EndpointAnswer, SendFailure>>;
  /** Sends a request and passes the answer to the listener as it arrives. */
  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): EndpointStream;
  /** Runs the prefill of the request's prompt; the endpoint keeps the KV cache for a short time. */
  prefill(
    endpoint: EndpointEntry,
    send: Send,
  ): Promise<Result<PrefillAnswer, SendFailure>>;
  /** Reserves a slot and memory at a decode endpoint. */
  reserve(
    endpoint: EndpointEntry,
    options: ReserveOptions,
  ): Promise<Result<ReservationAnswer, SendFailure>>;
  /** Releases a reservation. Failures are only logged, since it expires by itself. */
  releaseReservation(endpoint: EndpointEntry, id: ReservationId): void;
  /** Fetches an engine's report. */
  report(
    endpoint: EndpointEntry,
    options: { timeoutMs: number },
  ): Promise<Result<EngineReport & IncarnationFields, SendFailure>>;
  /**
   * Returns whether an endpoint answers anything at all; undefined if it can't be
   * asked, for lack of a permit or of a suitable call.
   */
  checkLink(
    endpoint: EndpointEntry,
    options: CheckLinkOptions,
  ): Promise<boolean | undefined>;
  /** Orders an engine to change its stage. */
  orderStage(
    endpoint: EndpointEntry,
    order: StageOrder,
  ): Promise<OrderOutcome>;
  /** Frees KV cache that will not be fetched. Failures are only logged, since it expires by itself. */
  freeHandle(endpoint: EndpointEntry, handle: KvHandle): void;
}
