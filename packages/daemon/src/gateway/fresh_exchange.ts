/**
 * Sends one request on its own connection, through undici.
 *
 * A new connection can't deliver a late response to another request, hasn't
 * become unresponsive and isn't about to be closed as idle. Any data after the
 * response is discarded with the connection.
 */
import { Buffer } from "node:buffer";
import type { IncomingHttpHeaders } from "node:http";
import { Client, type Dispatcher } from "undici";
import {
  type ClientConnection,
  createConnector,
} from "../http/client_connection.ts";
import type { ThrownError } from "../http/connection_faults.ts";
import { isHttpStatus } from "../http/status.ts";

/** Statuses below are those of informational responses, which a final one follows. */
const FIRST_FINAL_STATUS = 200;
/** Bytes of a response other than its body: head, framing of chunks, trailers. */
const OVERHEAD_LIMIT_BYTES = 65_536;
/** Bytes of framing allowed for each byte of a body; a chunk of one byte has five. */
const OVERHEAD_PER_BODY_BYTE = 8;

/** Pieces of a body that are read in one turn of the event loop. */
const MAX_PIECES_PER_TURN = 10_000;

/** How an exchange failed. */
export type ExchangeFailure =
  /** The connection was never established. */
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "lost"; readonly detail: string }
  /** The first byte or the end of the response did not arrive in time. */
  | { readonly kind: "timeout" }
  | { readonly kind: "aborted" };

/** An outgoing request. `headers` may be alternating names and values. */
export interface ExchangeRequest {
  readonly address: string;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[] | Record<string, string>;
  readonly body?: Uint8Array | string | null;
  readonly connectTimeoutMs: number;
  /** Limit until the first byte of the response, including connecting. */
  readonly firstByteMs: number;
  /** Limit until the end of the response; none when absent. */
  readonly wholeMs?: number | undefined;
  readonly signal?: AbortSignal;
}

/** How far an exchange has come. */
export type ExchangePhase =
  | "connecting"
  | "sending"
  | "body"
  /** Its reader has not asked for more. */
  | "paused by reader"
  /** Other work of the process comes first. */
  | "paused for a turn"
  | "ended";

/** An exception within an exchange, which ends it as `lost` unless it has ended. */
export interface ExchangeFault extends ThrownError {
  readonly phase: ExchangePhase;
}

/** Receives the response. Exactly one of `onEnd` and `onFailure` is called, once. */
export interface ExchangeListener {
  /** Returning false pauses reading before the body. */
  onHead(status: number, headers: IncomingHttpHeaders): boolean | void;
  /** Receives bytes of the body; returning false pauses reading. */
  onData(bytes: Buffer): boolean;
  onEnd(): void;
  onFailure(failure: ExchangeFailure): void;
  /** Called before `onFailure`, or after the end. */
  onFault?(fault: ExchangeFault): void;
}

/** An exchange in progress. */
export interface OutgoingExchange {
  /** Continues reading after a pause. */
  resume(): void;
  /** Closes the connection; the exchange fails as `aborted` unless it has ended. */
  abort(): void;
}

/** Sends a request on a new connection, which is closed afterwards. */
export function openExchange(
  request: ExchangeRequest,
  listener: ExchangeListener,
): OutgoingExchange {
  // undici throws on an invalid address, which a faulty directory entry may have.
  if (!URL.canParse(originOf(request))) {
    const failure = { kind: "notSent", detail: "invalid address" } as const;
    queueMicrotask(() => {
      try {
        listener.onFailure(failure);
      } catch (error) {
        const thrownIn = "onFailure";
        listener.onFault?.({ error, thrownIn, phase: "ended" });
      }
    });
    return { resume() {}, abort() {} };
  }
  return new SingleUseExchange(request, listener);
}

/** Owns the connection of one exchange. */
class SingleUseExchange implements OutgoingExchange {
  #client: Client;
  #listener: ExchangeListener;
  #signal: AbortSignal | undefined;
  #controller: Dispatcher.DispatchController | undefined;
  #connectLimit: TimeLimit;
  #firstByteLimit: TimeLimit;
  #wholeLimit: TimeLimit | undefined;
  #phase: ExchangePhase = "connecting";
  #connection: ClientConnection | undefined;
  #bodyBytes = 0;
  #piecesInTurn = 0;
  #settled = false;

  constructor(request: ExchangeRequest, listener: ExchangeListener) {
    this.#listener = listener;
    this.#signal = request.signal;
    this.#client = new Client(originOf(request), {
      pipelining: 1,
      connect: createConnector({
        connectTimeoutMs: request.connectTimeoutMs,
        onConnected: (connection) => this.#onConnected(connection),
        onFault: (fault) => this.#onFault(fault),
      }),
      // The first byte has its own timer; gaps between later bytes are up to the user
      // of the exchange.
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    // undici's own limit has a resolution of half a second.
    this.#connectLimit = new TimeLimit(
      request.connectTimeoutMs,
      () => this.#fail({ kind: "notSent", detail: "connect timeout" }),
    );
    const onTimeout = () => this.#fail({ kind: "timeout" });
    this.#firstByteLimit = new TimeLimit(request.firstByteMs, onTimeout);
    if (request.wholeMs !== undefined) {
      this.#wholeLimit = new TimeLimit(request.wholeMs, onTimeout);
    }
    if (request.signal?.aborted) {
      this.#failLater({ kind: "aborted" });
      return;
    }
    request.signal?.addEventListener("abort", this.#onAbort, { once: true });
    this.#dispatch(request);
  }

  resume(): void {
    if (this.#settled || !this.#controller?.paused) return;
    this.#phase = "body";
    this.#guard("resume", () => this.#controller?.resume());
  }

  abort(): void {
    this.#fail({ kind: "aborted" });
  }

  #onConnected(connection: ClientConnection): void {
    this.#connection = connection;
    this.#phase = "sending";
    this.#connectLimit.end();
    connection.on("readable", () => this.#checkOverhead(connection));
  }

  // The parser skips reason phrases, informational responses and chunk extensions
  // of any length.
  #checkOverhead({ consumedBytes }: ClientConnection): void {
    const overheadBytes = consumedBytes - this.#bodyBytes;
    const limitBytes = OVERHEAD_LIMIT_BYTES +
      OVERHEAD_PER_BODY_BYTE * this.#bodyBytes;
    if (overheadBytes <= limitBytes) return;
    this.#fail({ kind: "lost", detail: "The framing is too large" });
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
          : toBuffer(body),
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
      onResponseStart: (_controller, status, headers) =>
        this.#guard("onHead", () => {
          this.#onHead(status, headers as IncomingHttpHeaders);
        }),
      onResponseData: (_controller, bytes) =>
        this.#guard("onData", () => this.#onData(bytes)),
      onResponseEnd: () => {
        if (!this.#settle()) return;
        this.#guard("onEnd", () => this.#listener.onEnd());
      },
      onResponseError: (_controller, error) =>
        this.#fail(this.#toFailure(error)),
    };
  }

  #onHead(status: number, headers: IncomingHttpHeaders): void {
    if (this.#settled) return;
    if (!isHttpStatus(status)) {
      return this.#fail({ kind: "lost", detail: `Invalid status ${status}` });
    }
    if (status < FIRST_FINAL_STATUS) return;
    this.#firstByteLimit.end();
    this.#phase = "body";
    const reads = this.#listener.onHead(status, headers);
    if (reads === false) this.#pause("paused by reader");
  }

  // The parser flushes an empty piece after each pause.
  #onData(bytes: Buffer): void {
    if (this.#settled || bytes.length === 0) return;
    this.#bodyBytes += bytes.length;
    this.#piecesInTurn += 1;
    if (!this.#listener.onData(bytes)) this.#pause("paused by reader");
    else if (this.#piecesInTurn >= MAX_PIECES_PER_TURN) this.#yield();
  }

  #pause(phase: ExchangePhase): void {
    if (this.#settled) return;
    this.#phase = phase;
    this.#controller?.pause();
  }

  // Several megabytes may have arrived. In tiny pieces, they would delay all other
  // requests for hundreds of milliseconds.
  #yield(): void {
    this.#piecesInTurn = 0;
    this.#pause("paused for a turn");
    setImmediate(() => {
      if (this.#phase === "paused for a turn") this.resume();
    });
  }

  #guard(thrownIn: string, run: () => void): void {
    try {
      run();
    } catch (error) {
      this.#onFault({ error, thrownIn });
    }
  }

  #onFault(fault: ThrownError): void {
    this.#listener.onFault?.({ ...fault, phase: this.#phase });
    const kind = this.#connection ? "lost" : "notSent";
    this.#fail({ kind, detail: String(fault.error) });
  }

  #toFailure(error: Error): ExchangeFailure {
    const detail = (error as { code?: string }).code ?? error.message;
    return { kind: this.#connection ? "lost" : "notSent", detail };
  }

  #fail(failure: ExchangeFailure): void {
    if (!this.#settle()) return;
    // A request that timed out before the connection was established was not sent.
    const notSent = failure.kind === "timeout" && !this.#connection;
    this.#guard("onFailure", () => {
      this.#listener.onFailure(
        notSent ? { kind: "notSent", detail: "connect timeout" } : failure,
      );
    });
  }

  #failLater(failure: ExchangeFailure): void {
    queueMicrotask(() => this.#fail(failure));
  }

  #settle(): boolean {
    if (this.#settled) return false;
    this.#settled = true;
    this.#phase = "ended";
    this.#connectLimit.end();
    this.#firstByteLimit.end();
    this.#wholeLimit?.end();
    this.#signal?.removeEventListener("abort", this.#onAbort);
    // The outcome is settled; later errors of the connection don't matter.
    this.#client.destroy().catch(() => {});
    return true;
  }
}

/** Reports once that the time is over, unless it is ended before. */
class TimeLimit {
  #timer: ReturnType<typeof setTimeout>;
  #immediate: ReturnType<typeof setImmediate> | undefined;

  // After a freeze of the process, the timer fires before what arrived meanwhile is
  // read; the report waits until it has been.
  constructor(limitMs: number, onTimeout: () => void) {
    this.#timer = setTimeout(() => {
      this.#immediate = setImmediate(onTimeout);
    }, Math.max(1, limitMs));
  }

  end(): void {
    clearTimeout(this.#timer);
    clearImmediate(this.#immediate);
  }
}

// Without a copy, as bodies may be large.
function toBuffer(body: Uint8Array | string): Buffer {
  return typeof body === "string"
    ? Buffer.from(body)
    : Buffer.from(body.buffer, body.byteOffset, body.length);
}

function originOf({ address }: ExchangeRequest): string {
  return `http://${address}`;
}
