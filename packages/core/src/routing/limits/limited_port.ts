/** Sends to endpoints only as far as the limits and pauses that they ask for allow. */
import { err, ok, type Result } from "neverthrow";
import type {
  CheckLinkOptions,
  EndpointStream,
  ReserveOptions,
  RoutedEndpointPort,
  Send,
  SendFailure,
  StageOrder,
  StreamListener,
} from "../port.ts";
import type { EndpointEntry, KvHandle, ReservationId } from "../types.ts";
import type { EndpointLimits } from "./endpoint_limits.ts";

/** A reservation is followed by the stream that uses it, or by its release. */
const REQUESTS_PER_STREAM = 2;

/** Asks for permits before each call to an endpoint with a limit; calls none in its pause. */
export class LimitedEndpointPort implements RoutedEndpointPort {
  #port: RoutedEndpointPort;
  #limits: Pick<EndpointLimits, "acquire" | "pausedForMs">;

  constructor(
    port: RoutedEndpointPort,
    limits: Pick<EndpointLimits, "acquire" | "pausedForMs">,
  ) {
    this.#port = port;
    this.#limits = limits;
  }

  call(endpoint: EndpointEntry, send: Send) {
    return this.#ifPermitted(endpoint, () => this.#port.call(endpoint, send));
  }

  // The permit came with the reservation, if there is one; a pause may have begun since.
  stream(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): EndpointStream {
    if (!send.reservation) return this.#streamIfPermitted(endpoint, send);
    const retryAfterMs = this.#limits.pausedForMs(endpoint);
    if (retryAfterMs > 0) {
      const ended = Promise.resolve(
        err<void, SendFailure>({ kind: "limited", retryAfterMs }),
      );
      return { ended, resume() {}, abort() {} };
    }
    return this.#port.stream(endpoint, send);
  }

  prefill(endpoint: EndpointEntry, send: Send) {
    return this.#ifPermitted(
      endpoint,
      () => this.#port.prefill(endpoint, send),
    );
  }

  reserve(endpoint: EndpointEntry, options: ReserveOptions) {
    return this.#ifPermitted(
      endpoint,
      () => this.#port.reserve(endpoint, options),
      REQUESTS_PER_STREAM,
    );
  }

  // The stream's permit is used for the release. In a pause the reservation is left to expire.
  releaseReservation(endpoint: EndpointEntry, id: ReservationId): void {
    if (this.#limits.pausedForMs(endpoint) > 0) return;
    this.#port.releaseReservation(endpoint, id);
  }

  report(endpoint: EndpointEntry, options: { timeoutMs: number }) {
    return this.#ifPermitted(
      endpoint,
      () => this.#port.report(endpoint, options),
    );
  }

  async checkLink(endpoint: EndpointEntry, options: CheckLinkOptions) {
    const permit = await this.#acquire(endpoint, 1);
    if (permit.isErr()) return undefined;
    return await this.#port.checkLink(endpoint, options);
  }

  async orderStage(endpoint: EndpointEntry, order: StageOrder) {
    const permit = await this.#acquire(endpoint, 1);
    if (permit.isErr()) return "not-sent" as const;
    return await this.#port.orderStage(endpoint, order);
  }

  freeHandle(endpoint: EndpointEntry, handle: KvHandle): void {
    void this.#acquire(endpoint, 1).then((permit) => {
      if (permit.isOk()) this.#port.freeHandle(endpoint, handle);
    });
  }

  #streamIfPermitted(
    endpoint: EndpointEntry,
    send: Send & { listener: StreamListener },
  ): EndpointStream {
    const cancellation = new AbortController();
    const signal = AbortSignal.any([send.signal, cancellation.signal]);
    let stream: EndpointStream | undefined;
    const ended = this.#ifPermitted(endpoint, () => {
      stream = this.#port.stream(endpoint, { ...send, signal });
      return stream.ended;
    });
    return {
      ended,
      resume: () => stream?.resume(),
      abort: () => cancellation.abort(),
    };
  }

  async #ifPermitted<T>(
    endpoint: EndpointEntry,
    send: () => Promise<Result<T, SendFailure>>,
    requests = 1,
  ): Promise<Result<T, SendFailure>> {
    const permit = await this.#acquire(endpoint, requests);
    return permit.isErr() ? err(permit.error) : await send();
  }

  async #acquire(
    endpoint: EndpointEntry,
    requests: number,
  ): Promise<Result<void, SendFailure>> {
    const permit = await this.#limits.acquire(endpoint, requests);
    return permit.isOk()
      ? ok(undefined)
      : err({ kind: "limited", ...permit.error });
  }
}
