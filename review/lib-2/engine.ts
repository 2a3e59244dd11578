/** Stand-ins of model replicas, as the pages describe them. */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo, Socket } from "node:net";
import type { FakeStore } from "../../platform/src/testing/fake_store.ts";
import { ENGINES } from "./deployment.ts";

const PROMPT_TOKENS_PER_MS = 33.3;
const HANDLE_TTL_MS = 500;
/** `heartbeat_ms`, and the silence after which the store removes an entry. */
export const HEARTBEAT_MS = 1_200;
const EXPIRY_MS = 3 * HEARTBEAT_MS;

/** A request that a replica received, with what it did. */
export interface Arrival {
  readonly atMs: number;
  readonly replica: string;
  readonly version: string;
  readonly requestId: string;
  readonly kind: "prefill" | "run";
  readonly prefix: string;
  readonly after: number;
  /** False if the replica rejected it. */
  hasRun: boolean;
}

/** Options of {@link Engine}. */
export interface EngineOptions {
  id: string;
  stage: "prefill" | "decode";
  version: string;
  /** Interval and number of a stream's events. */
  eventMs?: number;
  events?: number;
  /** Parts of prompts that crash a replica which begins to answer on them. */
  crashingParts?: readonly string[];
  onCrash?: (engine: Engine) => void;
}

/** All arrivals, in order, and the memory that prefill replicas keep. */
export class EngineJournal {
  readonly arrivals: Arrival[] = [];
  readonly handles = new Map<string, number>();
}

/** One start of a model replica. */
export class Engine {
  readonly born = Date.now();
  readonly options: EngineOptions;
  #journal: EngineJournal;
  #server: Server;
  #sockets = new Set<Socket>();
  #port = 0;
  #count = 0;
  #running = 0;
  isDown = false;
  /** Its heartbeats go on from there; further ones only change `seq`. */
  #firstBeatAtMs = NaN;

  private constructor(journal: EngineJournal, options: EngineOptions) {
    this.#journal = journal;
    this.options = options;
    this.#server = createServer((incoming, response) => {
      this.#handle(incoming, response);
    });
    this.#server.on("connection", (socket) => {
      this.#sockets.add(socket);
      socket.on("close", () => this.#sockets.delete(socket));
    });
  }

  /** Starts a replica, at a port that it had before if one is given. */
  static async start(
    journal: EngineJournal,
    options: EngineOptions,
    port = 0,
  ): Promise<Engine> {
    const engine = new Engine(journal, options);
    engine.#server.listen(port, "127.0.0.1");
    await once(engine.#server, "listening");
    engine.#port = (engine.#server.address() as AddressInfo).port;
    return engine;
  }

  get id(): string {
    return this.options.id;
  }

  get port(): number {
    return this.#port;
  }

  get address(): string {
    return `127.0.0.1:${this.#port}`;
  }

  /** Writes its entry; the store accepts it at once. */
  beat(store: FakeStore, state = "ready"): void {
    const { id, stage, version } = this.options;
    this.#firstBeatAtMs = performance.now();
    store.put("servers", id, {
      service: ENGINES,
      address: this.address,
      zone: "helsinki-a",
      version,
      slots: 24,
      state,
      cold_left_ms: 0,
      stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      born: this.born,
      seq: 1,
    });
  }

  /** Whether it has written its entry. */
  get hasBeaten(): boolean {
    return !Number.isNaN(this.#firstBeatAtMs);
  }

  /** Time until its entry expires, if it has written it and is silent from now on. */
  expiresInMs(): number {
    const aliveMs = performance.now() - this.#firstBeatAtMs;
    return EXPIRY_MS - aliveMs % HEARTBEAT_MS;
  }

  /** Ends like a process that is killed. */
  crash(): void {
    if (this.isDown) return;
    this.isDown = true;
    this.#server.close();
    for (const socket of this.#sockets) socket.resetAndDestroy();
  }

  #handle(incoming: IncomingMessage, response: ServerResponse): void {
    incoming.resume();
    incoming.once("end", () => this.#answer(incoming, response));
  }

  #answer({ headers, method, url }: IncomingMessage, response: ServerResponse) {
    const path = url ?? "/";
    const { id, stage, version } = this.options;
    if (path === "/health") {
      response.setHeader("x-instance-id", id);
      return void response.end();
    }
    const expected = headers["x-expect-instance"];
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { "x-instance-id": id });
      return void response.end();
    }
    if (path.startsWith("/teaselvalve/")) {
      return this.#answerControl(`${method} ${path}`, response);
    }
    const isPrefill = headers["x-stage"] === "prefill";
    const requestId = String(headers["x-request-id"] ?? "");
    const arrival: Arrival = {
      atMs: performance.now(),
      replica: id,
      version,
      requestId,
      kind: isPrefill ? "prefill" : "run",
      prefix: String(headers["x-prompt-prefix"] ?? ""),
      after: Number(headers["last-event-id"] ?? 0),
      hasRun: false,
    };
    this.#journal.arrivals.push(arrival);
    response.setHeader("x-request-id", requestId);
    if (isPrefill !== (stage === "prefill")) {
      response.writeHead(421, { "x-instance-id": id, "x-not-executed": "1" });
      return void response.end();
    }
    if (isPrefill) return this.#prefill(headers, response);
    const source = headers["x-kv-source"];
    if (source !== undefined && !this.#takeHandle(String(source))) {
      response.writeHead(503, { "x-not-executed": "1" });
      return void response.end();
    }
    arrival.hasRun = true;
    this.#stream(arrival, response);
  }

  #answerControl(call: string, response: ServerResponse): void {
    const { stage } = this.options;
    const json = (value: unknown) => {
      response.setHeader("content-type", "application/json");
      response.end(JSON.stringify(value));
    };
    if (call.endsWith("/hold-take")) {
      this.#count += 1;
      return json({ hold: `h${this.born.toString(16)}${this.#count}` });
    }
    if (call.endsWith("/report")) {
      return json({
        born: this.born,
        stage,
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        seq: 0,
        queued: 0,
        running: this.#running,
        kv_used: 0,
        kv_total: 33_466,
        kv_handles: 0,
      });
    }
    if (call.startsWith("DELETE ")) return json({});
    response.writeHead(call.endsWith("/order") ? 409 : 404).end();
  }

  #prefill(headers: IncomingMessage["headers"], response: ServerResponse) {
    const tokens = Number(String(headers["x-token-count"]).split(",")[0]);
    setTimeout(() => {
      if (this.isDown || response.destroyed) return;
      this.#count += 1;
      const kv_handle = `${this.born.toString(16)}${this.#count}`;
      const key = `${this.address}/${kv_handle}`;
      this.#journal.handles.set(key, performance.now() + HANDLE_TTL_MS);
      response.setHeader("content-type", "application/json");
      response.end(JSON.stringify({ kv_handle, tokens, version: 1 }));
    }, tokens / PROMPT_TOKENS_PER_MS);
  }

  #takeHandle(source: string): boolean {
    const { handles } = this.#journal;
    const untilMs = handles.get(source) ?? -Infinity;
    handles.delete(source);
    return performance.now() <= untilMs;
  }

  // Each event names the software version that wrote it.
  #stream({ after, prefix, requestId }: Arrival, response: ServerResponse) {
    const { version, eventMs = 100, events = 60, crashingParts = [] } =
      this.options;
    if (crashingParts.some((part) => prefix.split(",").includes(part))) {
      setTimeout(() => {
        if (!this.isDown) this.options.onCrash?.(this);
      }, 30);
      return;
    }
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-server-stamp": `${this.id}.${this.born}.${requestId}`,
      "x-weight-versions": "1",
    });
    let id = after;
    this.#running += 1;
    const timer = setInterval(() => {
      id += 1;
      if (id <= events) response.write(`id: ${id}\ndata: ${version}\n\n`);
      if (id >= events) response.end();
    }, eventMs);
    response.once("close", () => {
      clearInterval(timer);
      this.#running -= 1;
    });
  }
}
