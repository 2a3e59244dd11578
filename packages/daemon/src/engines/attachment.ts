/** One open stream of server-sent events from an engine, on a connection of its own. */
import type { Buffer } from "node:buffer";
import { StringDecoder } from "node:string_decoder";
import type {
  Attachment,
  EndpointRef,
  EngineFailure,
  StreamEvent,
  StreamSink,
} from "@teaselvalve/core";
import { createParser } from "eventsource-parser";
import type { Dispatcher } from "undici";
import {
  classifyError,
  type FreshConnection,
  openConnection,
} from "../http/calls.ts";
import { tryParseJson } from "../http/json.ts";

/** What opens a stream. */
export interface StreamCall {
  method: "GET" | "POST";
  path: string;
  body?: unknown;
  sink: StreamSink;
  /** How long to wait for the next event. */
  timeoutMs: number;
}

const REJECTED_STATUS = 409;

/** Reads one stream until it ends, fails, stalls or is detached. */
export class HttpAttachment implements Attachment {
  #call: StreamCall;
  #connection: FreshConnection | undefined;
  #body: Dispatcher.ResponseData["body"] | undefined;
  #stallTimer: ReturnType<typeof setTimeout> | undefined;
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
    // The engine is not silent while nothing is read from it.
    clearTimeout(this.#stallTimer);
  }

  resume(): void {
    this.#paused = false;
    this.#body?.resume();
    this.#watchStall();
  }

  /** Reads events; the last one tells how the stream ended. */
  async run(endpoint: EndpointRef): Promise<void> {
    this.#watchStall();
    this.#connection = openConnection(endpoint.address, {
      responseLimitBytes: -1,
    });
    try {
      await this.#read(this.#connection);
    } catch (error) {
      const sent = this.#connection.connected();
      this.#fail(sent ? classifyError(error) : { kind: "notSent" });
    }
  }

  async #read({ client }: FreshConnection): Promise<void> {
    const { method, path, body } = this.#call;
    const answer = await client.request({
      method,
      path,
      body: body === undefined ? undefined : JSON.stringify(body),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    if (answer.statusCode !== 200) {
      const text = await answer.body.text();
      const failure = answer.statusCode === REJECTED_STATUS
        ? tryParseJson<EngineFailure>(text)
        : undefined;
      return this.#fail(failure ?? { kind: "lost" });
    }
    await this.#readEvents(answer.body);
    this.#fail({ kind: "lost" });
  }

  #readEvents(body: Dispatcher.ResponseData["body"]): Promise<void> {
    const decoder = new StringDecoder("utf8");
    const parser = createParser({ onEvent: (event) => this.#take(event.data) });
    this.#body = body;
    return new Promise((resolve, reject) => {
      body.once("end", resolve);
      body.once("error", reject);
      body.once("close", resolve);
      body.on("data", (chunk: Buffer) => parser.feed(decoder.write(chunk)));
      if (this.#paused) body.pause();
    });
  }

  #take(data: string): void {
    const event = tryParseJson<StreamEvent>(data);
    if (event === undefined) return this.#fail({ kind: "lost" });
    this.#watchStall();
    this.#emit(event);
  }

  #watchStall(): void {
    clearTimeout(this.#stallTimer);
    if (this.#ended || this.#paused) return;
    this.#stallTimer = setTimeout(
      () => this.#stall(),
      Math.max(1, this.#call.timeoutMs),
    );
  }

  #stall(): void {
    const sent = this.#connection?.connected() ?? false;
    this.#fail({ kind: sent ? "timeout" : "notSent" });
  }

  #fail(failure: EngineFailure): void {
    this.#emit({ kind: "failed", failure });
  }

  #emit(event: StreamEvent): void {
    if (this.#ended) return;
    if (event.kind === "end" || event.kind === "failed") this.#end();
    this.#call.sink(event);
  }

  // Nothing is read or sent on the connection once it has ended.
  #end(): void {
    this.#ended = true;
    clearTimeout(this.#stallTimer);
    this.#connection?.client.destroy().catch(() => {});
  }
}
