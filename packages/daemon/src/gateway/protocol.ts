/** The protocol of the endpoints, as an interface that the platform implements. */
import type { IncomingHttpHeaders } from "node:http";
import type { WorkspaceId } from "@teaselvalve/core";
import type {
  EndpointEntry,
  EngineReport,
  KvHandle,
  OrderOutcome,
  PrefillAnswer,
  PromptFields,
  ReservationId,
  Send,
  StageOrder,
} from "@teaselvalve/core/routing";

/** What a caller's headers say about its request. */
export interface CallerFields {
  /** Null if the caller sent none. */
  readonly attemptId: string | null;
  /** How long the caller waits for the response; null if it didn't say. */
  readonly timeoutMs: number | null;
  /** Id of the last event that the caller received, if it resumes a stream. */
  readonly lastEventId: string | null;
  /** The attempt that brought the first event of a resumed stream; null if not given. */
  readonly resumes: string | null;
  readonly prompt: PromptFields | null;
  /** Prompt tokens and maximum output tokens together; null if there is no valid count. */
  readonly tokenCount?: number | null;
}

/** What the headers of an endpoint's answer say about it. */
export interface AnswerFields {
  /** The attempt that the answer belongs to; null if not given. */
  readonly attemptId: string | null;
  /** True if the endpoint states that it did not run the request. */
  readonly notExecuted: boolean;
  /** True if the address now belongs to a different endpoint. */
  readonly misdirected: boolean;
  /** True if a replica of the service produced the answer. */
  readonly isStamped: boolean;
  /**
   * Requests per second that the endpoint accepts from all VMs together; null if it
   * names no limit, undefined if what it names can't be read.
   */
  readonly limitPerSecond: number | null | undefined;
  /** How long the endpoint wants no requests from this VM; null if it didn't say. */
  readonly pauseMs: number | null;
  /** True if the endpoint is about to stop. */
  readonly isLeaving: boolean;
}

/** A call that the router itself makes to an endpoint. */
export interface EndpointCall {
  readonly method: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string;
}

/** Translates between the router's types and the HTTP messages of the endpoints. */
export interface EndpointProtocol {
  /** Reads how long a caller waits for its response, in milliseconds; null if it didn't say. */
  readTimeoutMs(headers: IncomingHttpHeaders): number | null;
  /**
   * Returns the bytes of a request's key; null if it has none, or not exactly one that
   * can be read.
   */
  readKey(rawHeaders: readonly string[]): Uint8Array | null;
  /**
   * Removes a caller's key and what it says about its workspace from raw headers, and
   * adds the name of its workspace, if it has one.
   */
  withWorkspace(
    rawHeaders: readonly string[],
    workspace: WorkspaceId | null,
  ): string[];
  /** Reads the headers of a caller's request. */
  readCallerHeaders(headers: IncomingHttpHeaders): CallerFields;
  /** Builds the headers of a request to an endpoint, as alternating names and values. */
  requestHeaders(
    send: Send,
    options: { endpointId: string; prefill: boolean },
  ): string[];
  /** Reads the status and headers of an endpoint's answer. */
  readAnswerHeaders(status: number, headers: IncomingHttpHeaders): AnswerFields;
  /** Parses the answer to a prefill; null if it is malformed. */
  readPrefillAnswer(body: string): PrefillAnswer | null;
  /** Builds the call that reserves capacity for `tokens` tokens during `ttlMs`. */
  reserveCall(
    options: { tokens: number; ttlMs: number },
    target: { endpointId: string },
  ): EndpointCall;
  /**
   * Reads the start time of the endpoint from an answer to a call of the VM itself, a
   * prefill included; null if the answer doesn't state it.
   */
  readStartTime(body: string): number | null;
  /** Parses the answer to a reservation; null if it is malformed. */
  readReservation(body: string): ReservationId | null;
  /** Builds the call that releases a reservation. */
  releaseCall(id: ReservationId): EndpointCall;
  /** Builds the call that frees a KV cache handle. */
  freeHandleCall(handle: KvHandle): EndpointCall;
  /** Builds the call that requests an engine's report. */
  reportCall(): EndpointCall;
  /**
   * Builds a call that an endpoint answers whatever its state, or null if there is
   * none; `healthPath` is its service's, null if it has none.
   */
  linkCheckCall(
    endpoint: EndpointEntry,
    options: { healthPath: string | null },
  ): EndpointCall | null;
  /** Parses an engine's report; null if it is malformed. */
  readReport(body: string): EngineReport | null;
  /** Builds the call that sends a stage order to an endpoint. */
  orderCall(order: StageOrder, options: { endpointId: string }): EndpointCall;
  /** Maps the status of the answer to an order to its outcome. */
  readOrderStatus(status: number): OrderOutcome;
}
