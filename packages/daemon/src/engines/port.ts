/**
 * The engine port over HTTP. Streams are read as server-sent events. `timeoutMs`
 * limits a whole call, but in a stream only the time until the next event.
 */
import type {
  Attachment,
  EndpointRef,
  EngineCallOptions,
  EngineFailure,
  EnginePort,
  Observer,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import { createFreshClient, createKeepAliveClient } from "../http/calls.ts";
import { tryParseJson } from "../http/json.ts";
import { HttpAttachment, type StreamCall } from "./attachment.ts";

const REJECTED_STATUS = 409;

interface EngineCall {
  method: "GET" | "POST" | "DELETE";
  path: string;
  body?: unknown;
}

/** Creates the port through which the VM calls model engines. */
export function createEnginePort(
  { observer }: { observer?: Observer } = {},
): EnginePort {
  const keepAlive = createKeepAliveClient({ observer });
  const fresh = createFreshClient({ observer });

  async function call<T>(
    endpoint: EndpointRef,
    request: EngineCall,
    options: EngineCallOptions,
  ): Promise<Result<T, EngineFailure>> {
    const httpClient = options.fresh ? fresh : keepAlive;
    const response = await httpClient.call({
      method: request.method,
      address: endpoint.address,
      path: request.path,
      body: request.body === undefined
        ? undefined
        : JSON.stringify(request.body),
      timeoutMs: options.timeoutMs,
    });
    if (response.isErr()) return err(response.error);
    const { status, text } = response.value;
    if (status === REJECTED_STATUS) {
      return err(tryParseJson<EngineFailure>(text) ?? { kind: "lost" });
    }
    const value = status === 200 ? tryParseJson<T>(text) : undefined;
    return value === undefined ? err({ kind: "lost" }) : ok(value);
  }

  function stream(endpoint: EndpointRef, request: StreamCall): Attachment {
    const attachment = new HttpAttachment({ ...request, observer });
    void attachment.run(endpoint);
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
