/**
 * One request on a connection of its own, by undici.
 *
 * A connection that carried nothing before can't bring a late answer to another
 * request, has not gone silent, and is not about to be closed as idle; what is
 * left on it after the answer goes with it.
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";

/** How an exchange failed. */
export type ExchangeFailure =
  /** The connection never stood. */
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "lost"; readonly detail: string }
  /** The first byte of the answer, or its end, did not come in time. */
  | { readonly kind: "timeout" }
  | { readonly kind: "aborted" };

/** One request. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[] | Record<string, string>;
  readonly body?: Uint8Array | string | null;
  readonly connectTimeoutMs: number;
  /** How long the first byte of the answer may take, the connection included. */
  readonly firstByteMs: number;
  /** How long the whole answer may take; unlimited when absent. */
  readonly wholeMs?: number | undefined;
  readonly signal?: AbortSignal;
}

/** Receives what comes back; exactly one of `onEnd` and `onFailure` is called, once. */
export interface ExchangeListener {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  /** Takes bytes; false asks for a pause. */
  onData(bytes: Buffer): boolean;
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
}

/** An exchange under way. */
export interface OutgoingExchange {
  resume(): void;
  abort(): void;
}

/** Sends a request on a new connection, which is closed afterwards. */
export function openExchange(
  request: ExchangeRequest,
  listener: ExchangeListener,
): OutgoingExchange {
  return new SingleUseExchange(request, listener);
}

/** Owns one connection. */
class SingleUseExchange implements OutgoingExchange {
  #client: Client;
  #listener: ExchangeListener;
  #signal: AbortSignal | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #firstByteTimer: ReturnType<typeof setTimeout> | undefined;
  #wholeTimer: ReturnType<typeof setTimeout> | undefined;
  #connected = false;
  #socket: Socket | undefined;
  #socketError: Error | undefined;
  #endsWithConnection = false;
  #done = false;

  constructor(request: ExchangeRequest, listener: ExchangeListener) {
    this.#listener = listener;
    this.#signal = request.signal;
    this.#client = new Client(`http://${request.address}`, {
      pipelining: 1,
      connect: this.#connector(request.connectTimeoutMs),
      // The exchange's own timer covers the first byte; gaps are the caller's matter.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#firstByteTimer = setTimeout(
      () => this.#fail({ kind: "timeout" }),
      Math.max(1, request.firstByteMs),
    );
    if (request.wholeMs !== undefined) {
      this.#wholeTimer = setTimeout(
        () => this.#fail({ kind: "timeout" }),
        Math.max(1, request.wholeMs),
      );
    }
    if (request.signal?.aborted) {
      this.#failLater({ kind: "aborted" });
      return;
    }
    request.signal?.addEventListener("abort", this.#onAbort, { once: true });
    this.#dispatch(request);
  }

  resume(): void {
    this.#controller?.resume();
  }

  abort(): void {
    this.#fail({ kind: "aborted" });
  }

  // The library takes a reset for the end of an answer without a length.
  #connector(timeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: timeoutMs, allowH2: false });
    return (options, callback) =>
      connect(options, (...result) => {
        const [error, socket] = result;
        if (!error && socket) {
          this.#connected = true;
          this.#socket = socket;
          socket.on("error", (reason) => (this.#socketError = reason));
        }
        callback(...result);
      });
  }

  #onAbort = () => this.abort();

  #dispatch(request: ExchangeRequest): void {
    const { method, path, headers, body } = request;
    try {
      this.#client.dispatch({
        method: method as Dispatcher.HttpMethod,
        path,
        headers: headers as string[] | Record<string, string>,
        body: body === undefined || body === null || body.length === 0
          ? null
          : Buffer.from(body as Uint8Array),
        reset: true,
      }, this.#handler());
    } catch (error) {
      this.#failLater({ kind: "notSent", detail: String(error) });
    }
  }

  #handler(): Dispatcher.DispatchHandler {
    return {
      onRequestStart: (controller) => {
        this.#controller = controller;
      },
      onResponseStart: (_controller, status, headers) => {
        if (this.#done || status < 200) return;
        clearTimeout(this.#firstByteTimer);
        this.#endsWithConnection = headers["content-length"] === undefined &&
          headers["transfer-encoding"] === undefined;
        this.#listener.onHead(status, headers as IncomingHttpHeaders);
      },
      onResponseData: (controller, bytes) => {
        if (this.#done) return;
        if (!this.#listener.onData(bytes)) controller.pause();
      },
      onResponseEnd: () => {
        if (this.#endsWithConnection && this.#wasReset()) {
          return this.#fail({ kind: "lost", detail: "ECONNRESET" });
        }
        if (this.#close()) this.#listener.onEnd();
      },
      onResponseError: (_controller, error) =>
        this.#fail(this.#describe(error)),
    };
  }

  // A reset that comes with the last bytes shows as their end, without an error;
  // but a connection that was reset has no peer any more, which one that the peer
  // closed still has.
  #wasReset(): boolean {
    return this.#socketError !== undefined ||
      this.#socket?.remoteAddress === undefined;
  }

  #describe(error: Error): ExchangeFailure {
    const detail = (error as { code?: string }).code ?? error.message;
    return { kind: this.#connected ? "lost" : "notSent", detail };
  }

  #fail(failure: ExchangeFailure): void {
    if (!this.#close()) return;
    // A request that timed out before its connection stood was not sent.
    const unsent = failure.kind === "timeout" && !this.#connected;
    this.#listener.onFailure(
      unsent ? { kind: "notSent", detail: "connect timeout" } : failure,
    );
  }

  #failLater(failure: ExchangeFailure): void {
    queueMicrotask(() => this.#fail(failure));
  }

  #close(): boolean {
    if (this.#done) return false;
    this.#done = true;
    clearTimeout(this.#firstByteTimer);
    clearTimeout(this.#wholeTimer);
    this.#signal?.removeEventListener("abort", this.#onAbort);
    // The outcome is settled; what the connection still says of itself changes nothing.
    this.#client.destroy().catch(() => {});
    return true;
  }
}
