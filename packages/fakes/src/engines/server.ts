/** Serves fake engines over HTTP; `docs/engine-protocol.md` describes the protocol. */
import type { Server, ServerResponse } from "node:http";
import type {
  AttachOrder,
  DecodeOrder,
  EngineFailure,
  EngineOrder,
  PrefillOrder,
  StreamEvent,
  StreamId,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import {
  type JsonRequest,
  type JsonResponse,
  listenJson,
  type ListenOptions,
} from "../http/json_server.ts";
import { FakeDecodeEngine } from "./decode_engine.ts";
import type { AnyFakeEngine } from "./port.ts";
import { type ExportedCache, FakePrefillEngine } from "./prefill_engine.ts";

const REJECTED_STATUS = 409;

/** Serves a fake engine; while it is down, connections are closed without a response. */
export function serveEngine(
  engine: AnyFakeEngine,
  options: ListenOptions,
): Promise<Server> {
  return listenJson((request) => {
    if (!engine.up) {
      request.response.destroy();
      return null;
    }
    return answerRequest(engine, request);
  }, options);
}

async function answerRequest(
  engine: AnyFakeEngine,
  request: JsonRequest,
): Promise<JsonResponse> {
  const { method, path, query, body } = request;
  const run = /^\/v1\/runs\/([^/]+)$/.exec(path)?.[1] as StreamId | undefined;
  if (run && method === "DELETE") {
    engine.cancel(run);
    return { status: 200, body: null };
  }
  if (path === "/v1/report") return { status: 200, body: engine.report() };
  if (path === "/v1/orders" && method === "POST") {
    const code = engine.order(JSON.parse(body) as EngineOrder);
    return code
      ? rejectedResponse({ kind: "rejected", code })
      : okResponse(null);
  }
  return engine instanceof FakePrefillEngine
    ? await answerPrefill(engine, request)
    : answerDecode(engine, { request, run, query });
}

async function answerPrefill(
  engine: FakePrefillEngine,
  request: JsonRequest,
): Promise<JsonResponse> {
  const { path, query, body } = request;
  if (path === "/v1/cache-events") {
    return okResponse(engine.cacheEvents(Number(query.get("after"))));
  }
  if (path === "/v1/prefill") {
    const order = JSON.parse(body) as PrefillOrder;
    return resultResponse(await engine.prefill(order));
  }
  const exportId = /^\/v1\/exports\/([^/]+)\/transfer$/.exec(path)?.[1];
  if (exportId) {
    return resultResponse(await engine.transfer(exportId as StreamId));
  }
  return { status: 404, body: null };
}

function answerDecode(
  engine: FakeDecodeEngine,
  options: {
    request: JsonRequest;
    run: StreamId | undefined;
    query: URLSearchParams;
  },
): JsonResponse {
  const { request, run, query } = options;
  const { path, method, body, response } = request;
  if (path === "/v1/runs" && method === "POST") {
    const order = JSON.parse(body) as DecodeOrder;
    const sink = openEventStream(response);
    const attachment = engine.startRun(order, {
      sink,
      fetchExport: (stream) => transferFrom(order.from.address, stream),
    });
    response.once("close", () => attachment.detach());
    return null;
  }
  if (run && method === "GET") {
    const order: AttachOrder = {
      stream: run,
      owner: JSON.parse(query.get("owner")!),
      offset: Number(query.get("offset")),
      epoch: Number(query.get("epoch")),
    };
    const attachment = engine.attach(order, openEventStream(response));
    response.once("close", () => attachment.detach());
    return null;
  }
  return { status: 404, body: null };
}

function openEventStream(
  response: ServerResponse,
): (event: StreamEvent) => void {
  response.writeHead(200, { "content-type": "text/event-stream" });
  response.flushHeaders();
  return (event) => {
    response.write(`data: ${JSON.stringify(event)}\n\n`);
    if (event.kind === "end" || event.kind === "failed") response.end();
  };
}

async function transferFrom(
  address: string,
  stream: StreamId,
): Promise<Result<ExportedCache, EngineFailure>> {
  try {
    const response = await fetch(
      `http://${address}/v1/exports/${stream}/transfer`,
      { method: "POST" },
    );
    const result = await response.json();
    return response.ok
      ? ok(result as ExportedCache)
      : err(result as EngineFailure);
  } catch {
    return err({ kind: "lost" });
  }
}

function resultResponse<T>(result: Result<T, EngineFailure>): JsonResponse {
  return result.isOk()
    ? okResponse(result.value)
    : rejectedResponse(result.error);
}

function okResponse(body: unknown): JsonResponse {
  return { status: 200, body };
}

function rejectedResponse(failure: EngineFailure): JsonResponse {
  return { status: REJECTED_STATUS, body: failure };
}
