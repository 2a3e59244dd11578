/** Calls to endpoints over HTTP, each on a connection of its own. */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { err, ok, type Result } from "neverthrow";
import type { Observer } from "@teaselvalve/core";
import type {
  AnswerHead,
  EndpointAnswer,
  EndpointEntry,
  EngineReport,
  OrderOutcome,
  RoutedEndpointPort,
  Send,
  SendFailure,
  StageOrder,
  StreamListener,
} from "@teaselvalve/core/routing";
import { type ExchangeFailure, openExchange } from "./fresh_exchange.ts";
import type { EndpointCall, EndpointProtocol } from "./protocol.ts";

/** A connection stands within a few milliseconds unless a packet was lost. */
const CONNECT_TIMEOUT_MS = 250;
/** Answers of plain services are kept whole; a larger one is not passed on. */
const ANSWER_LIMIT_BYTES = 8 * 1_024 * 1_024;
/** A call that gives something back is worth little time. */
const GIVE_BACK_TIMEOUT_MS = 500;
const SUCCESS = 200;

/** Headers that concern one connection only. */
export const CONNECTION_HEADERS: ReadonlySet<string> = new Set([
  "connection",
  "keep-alive",
  "proxy-connection",
  "te",
  "trailer",
  "transfer-encoding",
  "upgrade",
]);

/** Options of {@link createRoutedEndpointPort}. */
export interface RoutedEndpointPortOptions {
  protocol: EndpointProtocol;
  observer: Observer;
}

/** Connects to endpoints. */
export function createRoutedEndpointPort(
  options: RoutedEndpointPortOptions,
): RoutedEndpointPort {
  return new HttpEndpointPort(options);
}

interface Whole {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

class HttpEndpointPort implements RoutedEndpointPort {
  #protocol: EndpointProtocol;
  #observer: Observer;

  constructor({ protocol, observer }: RoutedEndpointPortOptions) {
    this.#protocol = protocol;
    this.#observer = observer;
  }

  async call(
    endpoint: EndpointEntry,
    send: Send,
  ): Promise<Result<EndpointAnswer, SendFailure>> {
    const whole = await this.#send(endpoint, { send, prefill: false });
    return whole.andThen(({ status, headers, body }) => {
      const failure = this.#refusalOf(send, { status, headers });
      return failure
        ? err(failure)
        : ok({ status, headers: passedHeaders(headers), body });
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
    const exchange = openExchange(
      this.#request(endpoint, { send, prefill: false }),
      {
        onHead: (status, headers) => {
          const failure = this.#refusalOf(send, { status, headers });
          if (!failure) {
            return send.listener.onHead({
              status,
              headers: passedHeaders(headers),
            });
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
    const whole = await this.#send(endpoint, { send, prefill: true });
    return whole.andThen((answer) =>
      this.#readOwn(answer, {
        read: (text) => this.#protocol.readPrefillAnswer(text),
        what: "answer to a prefill",
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
    const whole = await callOwn(endpoint, call, options);
    return whole.andThen((answer) =>
      this.#readOwn(answer, {
        read: (text) => this.#protocol.readReservation(text),
        what: "answer to a reservation",
      })
    );
  }

  releaseReservation(
    endpoint: EndpointEntry,
    id: Parameters<RoutedEndpointPort["releaseReservation"]>[1],
  ): void {
    void this.#giveBack(endpoint, this.#protocol.releaseCall(id));
  }

  freeHandle(
    endpoint: EndpointEntry,
    handle: Parameters<RoutedEndpointPort["freeHandle"]>[1],
  ): void {
    void this.#giveBack(endpoint, this.#protocol.freeHandleCall(handle));
  }

  async report(
    endpoint: EndpointEntry,
    options: { timeoutMs: number },
  ): Promise<Result<EngineReport, SendFailure>> {
    const call = this.#protocol.reportCall();
    const whole = await callOwn(endpoint, call, options);
    return whole.andThen((answer) =>
      this.#readOwn(answer, {
        read: (text) => this.#protocol.readReport(text),
        what: "report",
      })
    );
  }

  async orderStage(
    endpoint: EndpointEntry,
    order: StageOrder,
  ): Promise<OrderOutcome> {
    const call = this.#protocol.orderCall(order, { endpointId: endpoint.id });
    const whole = await callOwn(endpoint, call, order);
    return whole.match(
      ({ status }) => this.#protocol.readOrderStatus(status),
      (failure) => failure.kind === "notSent" ? "not-sent" : "lost",
    );
  }

  async #giveBack(endpoint: EndpointEntry, call: EndpointCall): Promise<void> {
    const whole = await callOwn(endpoint, call, {
      timeoutMs: GIVE_BACK_TIMEOUT_MS,
    });
    if (whole.isOk()) return;
    this.#observer.log({
      event: "give-back-failed",
      endpoint: endpoint.id,
      path: call.path,
      reason: whole.error.kind,
    });
  }

  /** Reads an answer that is meant for this VM and not for a caller. */
  #readOwn<T>(
    { status, headers, body }: Whole,
    { read, what }: { read: (text: string) => T | null; what: string },
  ): Result<T, SendFailure> {
    const fields = this.#protocol.readAnswerHeaders(status, headers);
    if (fields.misdirected) return err({ kind: "misdirected" });
    if (status !== SUCCESS) return err({ kind: "notExecuted", status });
    const found = read(body.toString());
    return found
      ? ok(found)
      : err({ kind: "lost", detail: `Unreadable ${what}` });
  }

  #send(
    endpoint: EndpointEntry,
    options: { send: Send; prefill: boolean },
  ): Promise<Result<Whole, SendFailure>> {
    return readWhole(this.#request(endpoint, options));
  }

  #request(
    endpoint: EndpointEntry,
    { send, prefill }: { send: Send; prefill: boolean },
  ) {
    const { request } = send;
    return {
      address: endpoint.address,
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

  #refusalOf(
    send: Send,
    { status, headers }: { status: number; headers: IncomingHttpHeaders },
  ): SendFailure | null {
    const fields = this.#protocol.readAnswerHeaders(status, headers);
    if (fields.misdirected) return { kind: "misdirected" };
    if (fields.notExecuted) return { kind: "notExecuted", status };
    const isOther = fields.attemptId !== null &&
      fields.attemptId !== send.request.id;
    if (isOther) {
      return { kind: "lost", detail: "The answer belongs to another request" };
    }
    if (!fields.isStamped) return { kind: "lost", detail: "Unsigned answer" };
    return null;
  }
}

/** Makes a call of this VM's own, which no caller waits for directly. */
function callOwn(
  endpoint: EndpointEntry,
  call: EndpointCall,
  options: { timeoutMs: number; signal?: AbortSignal },
): Promise<Result<Whole, SendFailure>> {
  return readWhole({
    address: endpoint.address,
    method: call.method,
    path: call.path,
    headers: call.headers ?? {},
    body: call.body ?? null,
    connectTimeoutMs: Math.min(CONNECT_TIMEOUT_MS, options.timeoutMs),
    firstByteMs: options.timeoutMs,
    signal: options.signal,
  });
}

function readWhole(
  request: Parameters<typeof openExchange>[0],
): Promise<Result<Whole, SendFailure>> {
  return new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    let head: Pick<Whole, "status" | "headers"> | null = null;
    const exchange = openExchange(request, {
      onHead: (status, headers) => {
        head = { status, headers };
      },
      onData: (bytes) => {
        sizeBytes += bytes.length;
        chunks.push(bytes);
        if (sizeBytes > ANSWER_LIMIT_BYTES) {
          resolve(err({ kind: "lost", detail: "The answer is too large" }));
          exchange.abort();
        }
        return true;
      },
      onEnd: () => resolve(ok({ ...head!, body: Buffer.concat(chunks) })),
      onFailure: (failure) => resolve(err(toSendFailure(failure))),
    });
  });
}

function toSendFailure(failure: ExchangeFailure): SendFailure {
  return failure.kind === "notSent" ? { kind: "notSent" } : failure;
}

function passedHeaders(headers: IncomingHttpHeaders): AnswerHead["headers"] {
  const passed: [string, string][] = [];
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || CONNECTION_HEADERS.has(name)) continue;
    for (const one of Array.isArray(value) ? value : [value]) {
      passed.push([name, one]);
    }
  }
  return passed;
}
