/** Serves a plain service over HTTP. `GET /runs` lists its runs. */
import type { Server } from "node:http";
import { listenJson, type ListenOptions } from "../http/json_server.ts";
import type { PlainService } from "./plain_service.ts";

/** Serves a plain service; every path except `/runs` is a call. */
export function serveService(
  service: PlainService,
  options: ListenOptions,
): Promise<Server> {
  return listenJson(async (request) => {
    if (request.path === "/runs") return { status: 200, body: service.runs };
    const answer = await service.call({
      method: request.method,
      path: request.path,
      contentType: request.headers["content-type"] ?? "",
      body: request.body,
      key: String(request.headers["idempotency-key"] ?? ""),
    });
    return { status: answer.status, body: JSON.parse(answer.body) };
  }, options);
}
