/** Serves a fake platform over HTTP. */
import type { Server } from "node:http";
import {
  decodeWrite,
  encodeOutcome,
  encodeRow,
  type JsonWrite,
  type ListedVm,
} from "@teaselvalve/core";
import {
  type JsonRequest,
  type JsonResponse,
  listenJson,
  type ListenOptions,
} from "../http/json_server.ts";
import { type PlatformFaults } from "./faults.ts";
import type { FakePlatform } from "./platform.ts";

/** Options of {@link servePlatform}. */
export interface ServePlatformOptions extends ListenOptions {
  faults: PlatformFaults;
}

/** Serves a fake platform. `POST /faults` sets its faults, `/usage` returns its usage. */
export function servePlatform(
  platform: FakePlatform,
  options: ServePlatformOptions,
): Promise<Server> {
  const { faults } = options;
  return listenJson(async (request) => {
    if (request.path === "/faults") {
      Object.assign(faults, JSON.parse(request.body));
      return { status: 200, body: faults };
    }
    if (request.path === "/usage") return { status: 200, body: platform.usage };
    if (faults.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, faults.delayMs));
    }
    // A platform that is down doesn't respond, so that its clients time out.
    const isList = request.path === "/vms";
    if (isList ? faults.listDown : faults.down) return null;
    const answer = answerRequest(platform, request);
    const writes = request.path === "/transact" || request.method === "PUT";
    if (!writes || faults.loseReplies === 0) return answer;
    faults.loseReplies -= 1;
    request.response.destroy();
    return null;
  }, options);
}

function answerRequest(
  platform: FakePlatform,
  request: JsonRequest,
): JsonResponse {
  const { method, path, query, body } = request;
  if (path === "/transact") {
    const writes = (JSON.parse(body) as JsonWrite[]).map(decodeWrite);
    return { status: 200, body: encodeOutcome(platform.transact(writes)) };
  }
  if (path === "/rows") {
    const row = platform.read(query.get("table")!, query.get("key")!);
    return { status: 200, body: encodeRow(row) };
  }
  if (path === "/scan") {
    const rows = platform.scan(query.get("table")!, query.get("prefix") ?? "", {
      limit: Number(query.get("limit")),
      after: query.get("after") ?? undefined,
    });
    return { status: 200, body: rows.map(encodeRow) };
  }
  if (path === "/vms" && method === "GET") {
    return { status: 200, body: platform.listVms() };
  }
  if (path === "/vms" && method === "POST") {
    platform.upsertListedVm(JSON.parse(body) as ListedVm);
    return { status: 200, body: null };
  }
  if (path === "/vms" && method === "DELETE") {
    platform.removeListedVm(query.get("id")!);
    return { status: 200, body: null };
  }
  if (path === "/objects" && method === "PUT") {
    platform.putObject(query.get("name")!, body);
    return { status: 200, body: null };
  }
  if (path === "/objects") {
    return { status: 200, body: platform.getObject(query.get("name")!) };
  }
  return { status: 404, body: null };
}
