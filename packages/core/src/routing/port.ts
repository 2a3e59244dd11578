/** Calls to endpoints, as the router makes them. */
import type { Result } from "neverthrow";
import type {
  EndpointEntry,
  KvHandle,
  ReservationId,
  RoutedRequest,
  Stage,
} from "./types.ts";

/** How a request sent to an endpoint failed. */
export type SendFailure =
  /** No byte was sent. */
  | { readonly kind: "notSent" }
  /** The endpoint says that it did not run the request. */
  | { readonly kind: "notExecuted"; readonly status: number }
  /** The address belongs to another endpoint, which did not run the request. */
  | { readonly kind: "misdirected" }
  /** The connection ended, or what came was no proper answer. */
  | { readonly kind: "lost"; readonly detail: string }
  | { readonly kind: "timeout" }
  /** The caller left, or the router gave up. */
  | { readonly kind: "aborted" };

/** One send of a request to one endpoint. */
export interface Send {
  readonly request: RoutedRequest;
  /** How long the endpoint may work on it. */
  readonly timeLeftMs: number;
  /** How long the first byte of the answer may take. */
  readonly firstByteMs: number;
  /** How long the whole answer may take; unlimited when absent. */
  readonly wholeMs?: number;
  /** Ends the send at once. */
  readonly signal: AbortSignal;
  /** 0 is first and 9 last. */
  readonly urgency?: number;
  /** The event after which a stream goes on. */
  readonly lastEventId?: string | null;
  readonly reservation?: ReservationId | null;
  /** Where the prompt's KV cache lies. */
  readonly kvSource?: KvSource | null;
}

/** KV cache at a prefill endpoint. */
export interface KvSource {
  readonly address: string;
  readonly handle: KvHandle;
}

/** What stands before an answer's body. */
export interface AnswerHead {
  readonly status: number;
  /** Names and values in turn, without those that concern one connection. */
  readonly headers: readonly [string, string][];
}

/** An answer that was read whole. */
export interface EndpointAnswer extends AnswerHead {
  readonly body: Uint8Array;
}

/** Receives an answer while it is made. */
export interface StreamListener {
  onHead(head: AnswerHead): void;
  /** Takes bytes; false asks for a pause until `resume` is called. */
  onData(bytes: Uint8Array): boolean;
}

/** An answer that is being received. */
export interface EndpointStream {
  /** Resolves once the answer is complete, or has failed. */
  readonly ended: Promise<Result<void, SendFailure>>;
  /** Goes on after a pause. */
  resume(): void;
  /** Gives the answer up and closes its connection. */
  abort(): void;
}

/** The outcome of a prefill. */
export interface PrefillAnswer {
  readonly handle: KvHandle;
  readonly tokens: number;
}

/** Options of {@link RoutedEndpointPort.reserve}. */
export interface ReserveOptions {
  readonly tokens: number;
  readonly ttlMs: number;
  readonly timeoutMs: number;
  readonly signal: AbortSignal;
}

/** An order to change the stage. */
export interface StageOrder {
  readonly stage: Stage;
  /** Who gives the order. */
  readonly holder: string;
  readonly fencingNumber: number;
  /** Orders that the endpoint must have accepted before. */
  readonly expectedSequence: number;
  readonly timeoutMs: number;
}

/** What an engine says of itself, as of some hundred milliseconds ago. */
export interface EngineReport {
  readonly stage: Stage;
  /** True while an order is carried out. */
  readonly busy: boolean;
  /** Orders that it has accepted since its start. */
  readonly orderSequence: number;
}

/** What became of an order; `lost` may be carried out later. */
export type OrderOutcome =
  | "accepted"
  | "conflict"
  | "fenced"
  | "refused"
  | "not-sent"
  | "lost";

/** Calls to endpoints. None is ever repeated by the port itself. */
export interface RoutedEndpointPort {
  /** Sends a request and reads the whole answer. */
  call(
    endpoint: EndpointEntry,
    send: Send,
  ): Promise<Result<EndpointAnswer, SendFailure>>;
  /** Sends a request whose answer is passed on while it is made. */
  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): EndpointStream;
  /** Has the prompt read, and its KV cache kept for a moment. */
  prefill(
    endpoint: EndpointEntry,
    send: Send,
  ): Promise<Result<PrefillAnswer, SendFailure>>;
  /** Reserves a slot and memory. */
  reserve(
    endpoint: EndpointEntry,
    options: ReserveOptions,
  ): Promise<Result<ReservationId, SendFailure>>;
  /** Gives a reservation back. Failures are logged; it lapses by itself. */
  releaseReservation(endpoint: EndpointEntry, id: ReservationId): void;
  /** Asks an engine for its report. */
  report(
    endpoint: EndpointEntry,
    options: { timeoutMs: number },
  ): Promise<Result<EngineReport, SendFailure>>;
  /** Orders an engine to change its stage. */
  orderStage(
    endpoint: EndpointEntry,
    order: StageOrder,
  ): Promise<OrderOutcome>;
  /** Frees KV cache that nobody will fetch. Failures are logged; it lapses by itself. */
  freeHandle(endpoint: EndpointEntry, handle: KvHandle): void;
}
