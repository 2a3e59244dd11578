/** A stream of server-sent events from an engine, on its own connection. */
import type { Buffer } from "node:buffer";
import {
  type Attachment,
  ByteCollector,
  type EndpointRef,
  type EngineFailure,
  type Observer,
  SILENT_OBSERVER,
  type StreamEvent,
  type StreamSink,
} from "@teaselvalve/core";
import { EventSplitter } from "@teaselvalve/core/routing";
import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import {
  classifyError,
  type FreshConnection,
  openConnection,
} from "../http/calls.ts";
import { logConnectionFault } from "../http/connection_faults.ts";
import { tryParseJson } from "../http/json.ts";

/** The request that opens a stream, and the receiver of its events. */
export interface StreamCall {
  method: "GET" | "POST";
  path: string;
  /** Sent as JSON. */
  body?: unknown;
  /** Receives every event; the last is of kind `end` or `failed`. */
  sink: StreamSink;
  /** Maximum time without an event, unless the stream is paused. */
  timeoutMs: number;
  /** Learns of exceptions within the stream, which fails as `lost`. */
  observer?: Observer | undefined;
}

const REJECTED_STATUS = 409;
/** The body of a rejection has a few short fields. */
const REJECTION_LIMIT_BYTES = 64 * 1_024;

/** Reads one stream until it ends, fails, times out or is detached. */
export class HttpAttachment implements Attachment {
  #call: StreamCall;
  #endpoint: EndpointRef | undefined;
  #connection: FreshConnection | undefined;
  #body: Dispatcher.ResponseData["body"] | undefined;
  #eventTimer: ReturnType<typeof setTimeout> | undefined;
  #splitter = new EventSplitter();
  #paused = false;
  #ended = false;

  constructor(call: StreamCall) {
    this.#call = call;
  }

  detach(): void {
    this.#end();
  }

  pause(): void {
    this.#paused = true;
    this.#body?.pause();
    // While nothing is read, a missing event doesn't mean that the engine is
    // unresponsive.
    clearTimeout(this.#eventTimer);
  }

  resume(): void {
    this.#paused = false;
    this.#body?.resume();
    this.#restartTimeout();
  }

  /** Opens the stream and passes its events on; a failure becomes its last event. */
  async run(endpoint: EndpointRef): Promise<void> {
    const { observer } = this.#call;
    this.#endpoint = endpoint;
    this.#restartTimeout();
    try {
      // Throws on an address that can't be read.
      this.#connection = openConnection(endpoint.address, { observer });
      await this.#read(this.#connection);
    } catch (error) {
      const connected = this.#connection?.connected() ?? false;
      this.#fail(connected ? classifyError(error) : { kind: "notSent" });
    }
  }

  async #read({ client }: FreshConnection): Promise<void> {
    const { method, path, body } = this.#call;
    const response = await client.request({
      method,
      path,
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    if (response.statusCode !== 200) {
      const text = await readRejection(response.body);
      const failure = response.statusCode === REJECTED_STATUS
        ? tryParseJson<EngineFailure>(text)
        : undefined;
      return this.#fail(failure ?? { kind: "lost" });
    }
    await this.#readEvents(response.body);
    this.#fail({ kind: "lost" });
  }

  #readEvents(body: Dispatcher.ResponseData["body"]): Promise<void> {
    const parser = createParser({
      onEvent: (event) => this.#handleEvent(event.data),
    });
    this.#body = body;
    return new Promise<void>((resolve, reject) => {
      body.once("end", resolve);
      body.once("error", reject);
      body.once("close", resolve);
      body.on("data", (chunk: Buffer) => {
        if (this.#ended) return;
        try {
          for (const { bytes } of this.#splitter.push(chunk)) {
            parser.feed(bytes.toString("utf8"));
          }
          if (this.#splitter.overflowed) this.#fail({ kind: "lost" });
        } catch (error) {
          reject(error);
        }
      });
      if (this.#paused) body.pause();
    });
  }

  #handleEvent(data: string): void {
    const event = tryParseJson<StreamEvent>(data);
    if (event === undefined) return this.#fail({ kind: "lost" });
    this.#restartTimeout();
    this.#emit(event);
  }

  #restartTimeout(): void {
    clearTimeout(this.#eventTimer);
    if (this.#ended || this.#paused) return;
    this.#eventTimer = setTimeout(
      () => this.#timeOut(),
      Math.max(1, this.#call.timeoutMs),
    );
  }

  #timeOut(): void {
    const connected = this.#connection?.connected() ?? false;
    this.#fail({ kind: connected ? "timeout" : "notSent" });
  }

  #fail(failure: EngineFailure): void {
    this.#emit({ kind: "failed", failure });
  }

  #emit(event: StreamEvent): void {
    if (this.#ended) return;
    if (event.kind === "end" || event.kind === "failed") this.#end();
    try {
      this.#call.sink(event);
    } catch (error) {
      this.#logFault(error);
      this.#fail({ kind: "lost" });
    }
  }

  #logFault(error: unknown): void {
    const { observer = SILENT_OBSERVER } = this.#call;
    logConnectionFault(observer, { error, thrownIn: "sink" }, {
      call: "stream",
      endpoint: this.#endpoint?.id,
      phase: this.#ended ? "ended" : "body",
    });
  }

  // After the end, nothing more is read from or sent on the connection.
  #end(): void {
    this.#ended = true;
    clearTimeout(this.#eventTimer);
    this.#splitter.discard();
    this.#connection?.client.destroy().catch(() => {});
    // The connection no longer knows of a body that has arrived whole and isn't read.
    this.#body?.destroy();
  }
}

async function readRejection(
  body: Dispatcher.ResponseData["body"],
): Promise<string> {
  const collector = new ByteCollector({
    limitBytes: REJECTION_LIMIT_BYTES,
    use: "internal",
  });
  try {
    for await (const piece of body) {
      if (collector.add(piece) === "refused") break;
    }
    return collector.bytes.toString("utf8");
  } finally {
    collector.discard();
  }
}
