/** Stand-ins of the replicas of plain services, and callers of these. */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  request,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import type { FakeStore } from "../../platform/src/testing/fake_store.ts";
import { HOST } from "./deployment.ts";

const WORK_MS = 40;

/** A request that a replica began to work on. */
export interface PlainRun {
  readonly atMs: number;
  readonly service: string;
  readonly replica: string;
  readonly requestId: string;
}

/** Options of {@link PlainReplica.start}. */
export interface PlainOptions {
  id: string;
  service: string;
  store: FakeStore;
  /** The limit that all its answers name; null for none. */
  limitPerSecond?: () => number | null;
}

/** One replica of a plain service; sound, and never full in these cases. */
export class PlainReplica {
  readonly id: string;
  readonly service: string;
  #server: Server;
  #runs: PlainRun[];
  #limitPerSecond: () => number | null;

  private constructor(options: PlainOptions, runs: PlainRun[]) {
    this.id = options.id;
    this.service = options.service;
    this.#runs = runs;
    this.#limitPerSecond = options.limitPerSecond ?? (() => null);
    this.#server = createServer((incoming, response) => {
      const limit = this.#limitPerSecond();
      if (limit !== null) response.setHeader("server-limit", String(limit));
      incoming.resume();
      incoming.once("end", () => this.#answer(incoming, response));
    });
  }

  /** Starts a replica, which adds what it runs to `runs`, and writes its entry. */
  static async start(
    options: PlainOptions,
    runs: PlainRun[],
  ): Promise<PlainReplica> {
    const replica = new PlainReplica(options, runs);
    replica.#server.listen(0, "127.0.0.1");
    await once(replica.#server, "listening");
    const { port } = replica.#server.address() as AddressInfo;
    options.store.put("servers", replica.id, {
      service: replica.service,
      address: `127.0.0.1:${port}`,
      zone: "helsinki-a",
      version: "v1",
      slots: 6,
      state: "ready",
      cold_left_ms: 0,
      born: Date.now(),
      seq: 1,
    });
    return replica;
  }

  close(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  #answer({ headers, url }: IncomingMessage, response: ServerResponse): void {
    if (url === "/health") {
      response.setHeader("x-instance-id", this.id);
      return void response.end();
    }
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { "x-instance-id": this.id });
      return void response.end();
    }
    const requestId = String(headers["x-request-id"] ?? "");
    this.#runs.push({
      atMs: performance.now(),
      service: this.service,
      replica: this.id,
      requestId,
    });
    response.setHeader("x-request-id", requestId);
    response.setHeader("x-server-stamp", `${this.id}.${requestId}`);
    setTimeout(() => response.end(`${this.id} ${requestId}`), WORK_MS);
  }
}

/** What one client attempt received. */
export interface PlainAttempt {
  readonly id: string;
  readonly sentAtMs: number;
  readonly status: number;
  readonly body: string;
  /** Time that a refusal asks to wait; NaN if it doesn't say. */
  readonly retryAfterMs: number;
}

/** Sends one call on a new connection; status 0 if there is no answer. */
export function sendCall(
  { id, address, kind }: {
    id: string;
    address: string;
    kind: "safe" | "unsafe";
  },
): Promise<PlainAttempt> {
  const sentAtMs = performance.now();
  const [host, port] = address.split(":");
  return new Promise((resolve) => {
    const fail = () =>
      resolve({ id, sentAtMs, status: 0, body: "", retryAfterMs: NaN });
    const outgoing = request({
      host,
      port,
      method: kind === "safe" ? "GET" : "POST",
      path: `/${kind}/${id}`,
      agent: false,
      headers: {
        host: HOST,
        "x-request-id": id,
        "x-deadline-ms": "1500",
      },
    });
    outgoing.on("error", fail);
    outgoing.on("response", (incoming) => {
      let body = "";
      incoming.on("data", (bytes) => (body += bytes));
      incoming.on("error", fail);
      incoming.on(
        "end",
        () =>
          resolve({
            id,
            sentAtMs,
            status: incoming.statusCode ?? 0,
            body,
            retryAfterMs: 1_000 *
              Number(incoming.headers["retry-after"] ?? NaN),
          }),
      );
    });
    outgoing.end(kind === "safe" ? undefined : `{"house":"${id}"}`);
  });
}
