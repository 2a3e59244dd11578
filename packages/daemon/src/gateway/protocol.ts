/** How requests, answers and calls are written for endpoints; given by whoever knows their protocol. */
import type { IncomingHttpHeaders } from "node:http";
import type {
  EngineReport,
  KvHandle,
  OrderOutcome,
  PrefillAnswer,
  PromptFields,
  ReservationId,
  Send,
  StageOrder,
} from "@teaselvalve/core/routing";

/** What a caller's headers say of its request. */
export interface CallerFields {
  /** Null where the caller names none. */
  readonly attemptId: string | null;
  readonly timeoutMs: number | null;
  readonly lastEventId: string | null;
  readonly prompt: PromptFields | null;
}

/** What an answer's headers say of it. */
export interface AnswerFields {
  /** The attempt that the answer belongs to. */
  readonly attemptId: string | null;
  /** True where the endpoint says that it did not run the request. */
  readonly notExecuted: boolean;
  /** True where the address belongs to another endpoint than was expected. */
  readonly misdirected: boolean;
  /** True where a replica of the service made the answer. */
  readonly isStamped: boolean;
}

/** A call of the router's own to an endpoint. */
export interface EndpointCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Translates between the router and the endpoints. */
export interface EndpointProtocol {
  /** Reads what a caller says of its request. */
  readCallerHeaders(headers: IncomingHttpHeaders): CallerFields;
  /** Builds the headers of a send, as names and values in turn. */
  requestHeaders(
    send: Send,
    options: { endpointId: string; prefill: boolean },
  ): string[];
  readAnswerHeaders(status: number, headers: IncomingHttpHeaders): AnswerFields;
  /** Reads the answer to a prefill, or null where it is none. */
  readPrefillAnswer(body: string): PrefillAnswer | null;
  reserveCall(
    options: { tokens: number; ttlMs: number },
    target: { endpointId: string },
  ): EndpointCall;
  /** Reads the answer to a reservation, or null where it is none. */
  readReservation(body: string): ReservationId | null;
  releaseCall(id: ReservationId): EndpointCall;
  freeHandleCall(handle: KvHandle): EndpointCall;
  reportCall(): EndpointCall;
  /** Reads an engine's report, or null where it is none. */
  readReport(body: string): EngineReport | null;
  orderCall(order: StageOrder, options: { endpointId: string }): EndpointCall;
  readOrderStatus(status: number): OrderOutcome;
}
