/** Notes which calls endpoints answer, as evidence of the links to them. */
import type { Result } from "neverthrow";
import {
  type CheckLinkOptions,
  type EndpointStream,
  isAnswer,
  type ReserveOptions,
  type RoutedEndpointPort,
  type Send,
  type SendFailure,
  type StageOrder,
  type StreamListener,
} from "../port.ts";
import type { EndpointEntry, KvHandle, ReservationId } from "../types.ts";

/** Time without an answer after which a call may have been lost. */
const SILENT_MS = 300;

/** Receives the outcomes of calls to endpoints, with the time at which they began. */
export interface LinkEvidence {
  noteAnswer(entry: EndpointEntry, sentAtMs: number): void;
  noteFailure(entry: EndpointEntry, sentAtMs: number): void;
}

/** Passes calls on to a port, and reports their outcomes. */
export class ObservedEndpointPort implements RoutedEndpointPort {
  #port: RoutedEndpointPort;
  #evidence: LinkEvidence;

  constructor(port: RoutedEndpointPort, evidence: LinkEvidence) {
    this.#port = port;
    this.#evidence = evidence;
  }

  async call(endpoint: EndpointEntry, send: Send) {
    const sentAtMs = performance.now();
    const timer = setTimeout(
      () => this.#evidence.noteFailure(endpoint, sentAtMs),
      SILENT_MS,
    );
    const outcome = await this.#port.call(endpoint, send);
    clearTimeout(timer);
    return this.#note(endpoint, { outcome, sentAtMs });
  }

  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): EndpointStream {
    const sentAtMs = performance.now();
    let answered = false;
    const stream = this.#port.stream(endpoint, {
      ...send,
      listener: {
        onHead: (head) => {
          answered = true;
          this.#evidence.noteAnswer(endpoint, sentAtMs);
          send.listener.onHead(head);
        },
        onData: (bytes) => send.listener.onData(bytes),
      },
    });
    void stream.ended.then((outcome) => {
      if (!answered) this.#note(endpoint, { outcome, sentAtMs });
    });
    return stream;
  }

  prefill(endpoint: EndpointEntry, send: Send) {
    return this.#observe(endpoint, () => this.#port.prefill(endpoint, send));
  }

  reserve(endpoint: EndpointEntry, options: ReserveOptions) {
    return this.#observe(endpoint, () => this.#port.reserve(endpoint, options));
  }

  releaseReservation(endpoint: EndpointEntry, id: ReservationId): void {
    this.#port.releaseReservation(endpoint, id);
  }

  report(endpoint: EndpointEntry, options: { timeoutMs: number }) {
    return this.#observe(endpoint, () => this.#port.report(endpoint, options));
  }

  orderStage(endpoint: EndpointEntry, order: StageOrder) {
    return this.#port.orderStage(endpoint, order);
  }

  freeHandle(endpoint: EndpointEntry, handle: KvHandle): void {
    this.#port.freeHandle(endpoint, handle);
  }

  checkLink(endpoint: EndpointEntry, options: CheckLinkOptions) {
    return this.#port.checkLink(endpoint, options);
  }

  async #observe<T>(
    endpoint: EndpointEntry,
    send: () => Promise<Result<T, SendFailure>>,
  ): Promise<Result<T, SendFailure>> {
    const sentAtMs = performance.now();
    return this.#note(endpoint, { outcome: await send(), sentAtMs });
  }

  #note<T>(
    endpoint: EndpointEntry,
    { outcome, sentAtMs }: {
      outcome: Result<T, SendFailure>;
      sentAtMs: number;
    },
  ): Result<T, SendFailure> {
    const answers = outcome.isOk() || isAnswer(outcome.error);
    if (answers) this.#evidence.noteAnswer(endpoint, sentAtMs);
    else if (outcome.error.kind !== "aborted") {
      this.#evidence.noteFailure(endpoint, sentAtMs);
    }
    return outcome;
  }
}
