/** The engine port over HTTP; streams come as server-sent events. */
import type { Buffer } from "node:buffer";
import { StringDecoder } from "node:string_decoder";
import type {
  Attachment,
  EndpointRef,
  EngineCallOptions,
  EngineFailure,
  EnginePort,
  StreamEvent,
  StreamSink,
} from "@teaselvalve/core";
import { createParser } from "eventsource-parser";
import { err, ok, type Result } from "neverthrow";
import type { Dispatcher } from "undici";
import {
  callHttp,
  createFreshAgent,
  createKeptAgent,
  failureOf,
} from "../http/calls.ts";

const REJECTED_STATUS = 409;

interface EngineCall {
  method: "GET" | "POST" | "DELETE";
  path: string;
  body?: unknown;
}

interface StreamCall extends EngineCall {
  sink: StreamSink;
  /** How long to wait for the next event. */
  timeoutMs: number;
}

/** Connects to model engines. */
export function createEnginePort(): EnginePort {
  const kept = createKeptAgent();
  const fresh = createFreshAgent();

  async function call<T>(
    endpoint: EndpointRef,
    request: EngineCall,
    options: EngineCallOptions,
  ): Promise<Result<T, EngineFailure>> {
    const answer = await callHttp(options.fresh ? fresh : kept, {
      method: request.method,
      address: endpoint.address,
      path: request.path,
      body: request.body === undefined
        ? undefined
        : JSON.stringify(request.body),
      timeoutMs: options.timeoutMs,
    });
    if (answer.isErr()) return err(answer.error);
    const { status, text } = answer.value;
    if (status === REJECTED_STATUS) {
      return err(JSON.parse(text) as EngineFailure);
    }
    return status === 200 ? ok(JSON.parse(text) as T) : err({ kind: "lost" });
  }

  function stream(endpoint: EndpointRef, request: StreamCall): Attachment {
    const attachment = new HttpAttachment(request.sink);
    void attachment.run(fresh, { endpoint, request });
    return attachment;
  }

  return {
    prefill: (endpoint, order, options) =>
      call(
        endpoint,
        { method: "POST", path: "/v1/prefill", body: order },
        options,
      ),
    start: (endpoint, order, options) =>
      stream(endpoint, {
        method: "POST",
        path: "/v1/runs",
        body: order,
        sink: options.sink,
        timeoutMs: options.timeoutMs,
      }),
    attach: (endpoint, order, options) => {
      const query = new URLSearchParams({
        offset: String(order.offset),
        epoch: String(order.epoch),
        owner: JSON.stringify(order.owner),
      });
      return stream(endpoint, {
        method: "GET",
        path: `/v1/runs/${order.stream}?${query}`,
        sink: options.sink,
        timeoutMs: options.timeoutMs,
      });
    },
    cancel: (endpoint, run, options) =>
      call(endpoint, { method: "DELETE", path: `/v1/runs/${run}` }, options),
    report: (endpoint, options) =>
      call(endpoint, { method: "GET", path: "/v1/report" }, options),
    cacheEvents: (endpoint, after, options) =>
      call(
        endpoint,
        { method: "GET", path: `/v1/cache-events?after=${after}` },
        options,
      ),
    order: (endpoint, order, options) =>
      call(
        endpoint,
        { method: "POST", path: "/v1/orders", body: order },
        options,
      ),
  };
}

/** One open stream of events from an engine. */
class HttpAttachment implements Attachment {
  #sink: StreamSink;
  #abort = new AbortController();
  #body: Dispatcher.ResponseData["body"] | undefined;
  #ended = false;

  constructor(sink: StreamSink) {
    this.#sink = sink;
  }

  detach(): void {
    this.#ended = true;
    this.#abort.abort();
  }

  pause(): void {
    this.#body?.pause();
  }

  resume(): void {
    this.#body?.resume();
  }

  /** Reads events until the stream ends or is detached. */
  async run(
    agent: Dispatcher,
    options: { endpoint: EndpointRef; request: StreamCall },
  ): Promise<void> {
    const { endpoint, request } = options;
    try {
      const answer = await agent.request({
        origin: `http://${endpoint.address}`,
        method: request.method,
        path: request.path,
        body: request.body === undefined
          ? undefined
          : JSON.stringify(request.body),
        signal: this.#abort.signal,
        bodyTimeout: Math.max(1, request.timeoutMs),
      });
      this.#body = answer.body;
      const parser = createParser({
        onEvent: (event) => this.#emit(JSON.parse(event.data) as StreamEvent),
      });
      const decoder = new StringDecoder("utf8");
      answer.body.on(
        "data",
        (chunk: Buffer) => parser.feed(decoder.write(chunk)),
      );
      await new Promise<void>((resolve, reject) => {
        answer.body.once("end", resolve);
        answer.body.once("error", reject);
      });
      this.#emit({ kind: "failed", failure: { kind: "lost" } });
    } catch (error) {
      this.#emit({ kind: "failed", failure: failureOf(error) });
    }
  }

  #emit(event: StreamEvent): void {
    if (this.#ended) return;
    this.#ended = event.kind === "end" || event.kind === "failed";
    this.#sink(event);
  }
}
