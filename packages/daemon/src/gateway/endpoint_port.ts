/** Calls to endpoints over HTTP, each on its own connection. */
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import { freeMemory, type Observer } from "@teaselvalve/core";
import {
  ANSWER_LIMIT_BYTES,
  type AnswerHead,
  type CheckLinkOptions,
  type EndpointAnswer,
  type EndpointEntry,
  incarnationOf,
  type NoticeListener,
  type OrderOutcome,
  type RoutedEndpointPort,
  type Send,
  type SendFailure,
  type StageOrder,
  type StreamListener,
} from "@teaselvalve/core/routing";
import {
  type BufferedAnswer,
  readAnswer,
  type ReadAnswerOptions,
  toHead,
  toSendFailure,
} from "./answers.ts";
import { logConnectionFault } from "../http/connection_faults.ts";
import {
  type ExchangeListener,
  type ExchangeRequest,
  openExchange,
  type OutgoingExchange,
} from "./fresh_exchange.ts";
import { parseOwnAnswer } from "./own_answers.ts";
import type { EndpointCall, EndpointProtocol } from "./protocol.ts";

/** A connection is established within a few milliseconds unless a packet is lost. */
const CONNECT_TIMEOUT_MS = 250;
/** Answers to the VM's own calls, prefills among them, have a few short fields. */
const OWN_ANSWER: ReadAnswerOptions = {
  limitBytes: 64 * 1_024,
  use: "internal",
};
/** Releasing a reservation or handle is best effort and gets little time. */
const RELEASE_TIMEOUT_MS = 500;

/** Options of {@link createRoutedEndpointPort}. */
export interface RoutedEndpointPortOptions {
  protocol: EndpointProtocol;
  observer: Observer;
  /** Called for each answer of an endpoint. */
  onNotice?: NoticeListener;
}

/** Creates the port through which the router calls endpoints. */
export function createRoutedEndpointPort(
  options: RoutedEndpointPortOptions,
): RoutedEndpointPort {
  return new HttpEndpointPort(options);
}

type CallKind =
  | "request"
  | "prefill"
  | "reservation"
  | "report"
  | "check"
  | "order"
  | "release";

class HttpEndpointPort implements RoutedEndpointPort {
  #protocol: EndpointProtocol;
  #observer: Observer;
  #onNotice: NoticeListener | undefined;

  constructor({ protocol, observer, onNotice }: RoutedEndpointPortOptions) {
    this.#protocol = protocol;
    this.#observer = observer;
    this.#onNotice = onNotice;
  }

  async call(
    endpoint: EndpointEntry,
    send: Send,
  ): Promise<Result<EndpointAnswer, SendFailure>> {
    const answer = await this.#send(endpoint, { send, prefill: false });
    return answer.andThen(({ status, headers, body }) => {
      const failure = this.#findFailure(send, { status, headers });
      if (!failure) {
        return ok({ ...this.#toHead(endpoint, { status, headers }), body });
      }
      freeMemory(body);
      return err(failure);
    });
  }

  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): ReturnType<RoutedEndpointPort["stream"]> {
    let settle: (result: Result<void, SendFailure>) => void = () => {};
    const ended = new Promise<Result<void, SendFailure>>((resolve) => {
      settle = resolve;
    });
    const exchange = this.#open(
      endpoint,
      { call: "request", ...this.#request(endpoint, { send, prefill: false }) },
      {
        onHead: (status, headers) => {
          const failure = this.#findFailure(send, { status, headers });
          if (!failure) {
            return send.listener.onHead(
              this.#toHead(endpoint, { status, headers }),
            );
          }
          settle(err(failure));
          exchange.abort();
        },
        onData: (bytes) => send.listener.onData(bytes),
        onEnd: () => settle(ok(undefined)),
        onFailure: (failure) => settle(err(toSendFailure(failure))),
      },
    );
    return {
      ended,
      resume: () => exchange.resume(),
      abort: () => exchange.abort(),
    };
  }

  async prefill(
    endpoint: EndpointEntry,
    send: Send,
  ): ReturnType<RoutedEndpointPort["prefill"]> {
    const answer = await this.#send(endpoint, { send, prefill: true });
    return answer.andThen((buffered) =>
      parseOwnAnswer(buffered, {
        ...this.#parsing,
        endpoint,
        read: (text) => this.#protocol.readPrefillAnswer(text),
        description: "answer to a prefill",
      })
    );
  }

  async reserve(
    endpoint: EndpointEntry,
    options: Parameters<RoutedEndpointPort["reserve"]>[1],
  ): ReturnType<RoutedEndpointPort["reserve"]> {
    const call = this.#protocol.reserveCall(options, {
      endpointId: endpoint.id,
    });
    const answer = await this.#call(endpoint, {
      call: "reservation",
      ...call,
      ...options,
    });
    return answer.andThen((buffered) =>
      parseOwnAnswer(buffered, {
        ...this.#parsing,
        endpoint,
        read: (text, fields) => {
          const id = this.#protocol.readReservation(text);
          return id && { id, ...fields };
        },
        description: "answer to a reservation",
      })
    );
  }

  releaseReservation(
    endpoint: EndpointEntry,
    id: Parameters<RoutedEndpointPort["releaseReservation"]>[1],
  ): void {
    void this.#release(endpoint, this.#protocol.releaseCall(id));
  }

  freeHandle(
    endpoint: EndpointEntry,
    handle: Parameters<RoutedEndpointPort["freeHandle"]>[1],
  ): void {
    void this.#release(endpoint, this.#protocol.freeHandleCall(handle));
  }

  async report(
    endpoint: EndpointEntry,
    options: { timeoutMs: number },
  ): ReturnType<RoutedEndpointPort["report"]> {
    const answer = await this.#call(endpoint, {
      call: "report",
      ...this.#protocol.reportCall(),
      ...options,
    });
    return answer.andThen((buffered) =>
      parseOwnAnswer(buffered, {
        ...this.#parsing,
        endpoint,
        read: (text, fields) => {
          const report = this.#protocol.readReport(text);
          return report && { ...report, ...fields };
        },
        description: "report",
      })
    );
  }

  async checkLink(
    endpoint: EndpointEntry,
    { healthPath, timeoutMs }: CheckLinkOptions,
  ): Promise<boolean | undefined> {
    const call = this.#protocol.linkCheckCall(endpoint, { healthPath });
    if (!call) return undefined;
    const answer = await this.#call(endpoint, {
      call: "check",
      ...call,
      timeoutMs,
    });
    return answer.isOk();
  }

  async orderStage(
    endpoint: EndpointEntry,
    order: StageOrder,
  ): Promise<OrderOutcome> {
    const answer = await this.#call(endpoint, {
      call: "order",
      ...this.#protocol.orderCall(order, { endpointId: endpoint.id }),
      timeoutMs: order.timeoutMs,
    });
    return answer.match(
      ({ status }) => this.#protocol.readOrderStatus(status),
      (failure) => failure.kind === "notSent" ? "not-sent" : "lost",
    );
  }

  get #parsing() {
    return { protocol: this.#protocol, observer: this.#observer };
  }

  async #release(endpoint: EndpointEntry, call: EndpointCall): Promise<void> {
    const answer = await this.#call(endpoint, {
      call: "release",
      ...call,
      timeoutMs: RELEASE_TIMEOUT_MS,
    });
    if (answer.isOk()) return;
    this.#observer.log({
      event: "give-back-failed",
      endpoint: endpoint.id,
      path: call.path,
      reason: answer.error.kind,
    });
  }

  #send(
    endpoint: EndpointEntry,
    options: { send: Send; prefill: boolean },
  ): Promise<Result<BufferedAnswer, SendFailure>> {
    const call = options.prefill ? "prefill" : "request";
    return readAnswer(
      (listener) =>
        this.#open(
          endpoint,
          { call, ...this.#request(endpoint, options) },
          listener,
        ),
      options.prefill
        ? OWN_ANSWER
        : { limitBytes: ANSWER_LIMIT_BYTES, use: "answer" },
    );
  }

  /** Makes a call for this VM itself, with no caller waiting directly for it. */
  #call(
    endpoint: EndpointEntry,
    { timeoutMs, ...call }: EndpointCall & {
      call: CallKind;
      timeoutMs: number;
      signal?: AbortSignal;
    },
  ): Promise<Result<BufferedAnswer, SendFailure>> {
    const request = {
      ...call,
      address: endpoint.address,
      headers: call.headers ?? {},
      body: call.body ?? null,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, timeoutMs),
      firstByteMs: timeoutMs,
      wholeMs: timeoutMs,
    };
    return readAnswer(
      (listener) => this.#open(endpoint, request, listener),
      OWN_ANSWER,
    );
  }

  #open(
    endpoint: EndpointEntry,
    { call, attemptId, ...request }: ExchangeRequest & {
      call: CallKind;
      attemptId?: string;
    },
    listener: ExchangeListener,
  ): OutgoingExchange {
    const sentAtMs = performance.now();
    const fields = { call, endpoint: endpoint.id, attempt: attemptId };
    return openExchange(request, {
      ...listener,
      onFault: ({ phase, ...fault }) =>
        logConnectionFault(this.#observer, fault, { ...fields, phase }),
      onHead: (status, headers) => {
        this.#notice(endpoint, { call, status, headers, sentAtMs });
        return listener.onHead(status, headers);
      },
    });
  }

  #toHead(
    endpoint: EndpointEntry,
    answer: Pick<BufferedAnswer, "status" | "headers">,
  ): AnswerHead {
    return { ...toHead(answer), endpoint: incarnationOf(endpoint) };
  }

  #notice(
    endpoint: EndpointEntry,
    { call, status, headers, sentAtMs }: {
      call: CallKind;
      status: number;
      headers: IncomingHttpHeaders;
      sentAtMs: number;
    },
  ): void {
    const fields = this.#protocol.readAnswerHeaders(status, headers);
    const { limitPerSecond, pauseMs, isLeaving } = fields;
    if (fields.misdirected) return;
    const answerKind = fields.notExecuted ? `refused ${call}` : call;
    this.#onNotice?.(endpoint, {
      limitPerSecond,
      pauseMs,
      isLeaving,
      answerKind,
      sentAtMs,
    });
  }

  #request(
    endpoint: EndpointEntry,
    { send, prefill }: { send: Send; prefill: boolean },
  ) {
    const { request } = send;
    return {
      address: endpoint.address,
      attemptId: request.id,
      method: request.method,
      path: request.target,
      headers: this.#protocol.requestHeaders(send, {
        endpointId: endpoint.id,
        prefill,
      }),
      body: request.body,
      connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, send.firstByteMs),
      firstByteMs: send.firstByteMs,
      wholeMs: send.wholeMs,
      signal: send.signal,
    };
  }

  #findFailure(
    send: Send,
    { status, headers }: { status: number; headers: IncomingHttpHeaders },
  ): SendFailure | null {
    const fields = this.#protocol.readAnswerHeaders(status, headers);
    const isForeign = fields.attemptId !== null &&
      fields.attemptId !== send.request.id;
    // The refusal of another request proves nothing about this one.
    if (isForeign) {
      return { kind: "lost", detail: "The answer belongs to another request" };
    }
    if (fields.misdirected) return { kind: "misdirected" };
    if (fields.notExecuted) return { kind: "notExecuted", status };
    if (!fields.isStamped) return { kind: "lost", detail: "Unsigned answer" };
    return null;
  }
}
