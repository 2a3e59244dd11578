/** A sound engine: prefills or decodes, as the users' pages describe. */
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import { ENGINES } from "./configuration.ts";

/** Prompt tokens that an engine reads in a millisecond. */
const TOKENS_PER_MS = 33.3333;

/** Options of {@link Engine.start}. */
export interface EngineOptions {
  readonly id: string;
  readonly stage: "prefill" | "decode";
  readonly version: string;
  /** Unix millisecond of its start. */
  readonly born: number;
  /** Port to listen on; any free one by default. */
  readonly port?: number;
  readonly eventMs: number;
  readonly events: number;
  readonly onRun?: (requestId: string, lastEventId: number) => void;
}

/** One start of an engine. */
export class Engine {
  readonly options: EngineOptions;
  #server: Server;
  #names = 0;

  private constructor(options: EngineOptions) {
    this.options = options;
    this.#server = createServer((incoming, response) => {
      incoming.resume();
      response.on("error", () => {});
      incoming.once("end", () => this.#handle(incoming, response));
    });
  }

  static async start(options: EngineOptions): Promise<Engine> {
    const engine = new Engine(options);
    engine.#server.listen(options.port ?? 0, "127.0.0.1");
    await once(engine.#server, "listening");
    return engine;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** The entry that it writes to the store. */
  entry() {
    const { stage, version, born } = this.options;
    return {
      service: ENGINES,
      address: `127.0.0.1:${this.port}`,
      zone: "helsinki-a",
      version,
      slots: 24,
      state: "ready",
      cold_left_ms: 0,
      stage,
      models: [{ name: "m", version: 1, adapters: [] }],
      born,
      seq: 1,
    };
  }

  /** Ends at once; its connections break. */
  async crash(): Promise<void> {
    const closed = once(this.#server, "close");
    this.#server.close();
    this.#server.closeAllConnections();
    await closed;
  }

  #handle(incoming: IncomingMessage, response: ServerResponse): void {
    const { id, stage, version, born } = this.options;
    const { headers, url = "/" } = incoming;
    if ((headers["x-expect-instance"] ?? id) !== id) {
      response.writeHead(421, { "x-instance-id": id });
      return void response.end();
    }
    if (url === "/teaselvalve/report") {
      const report = {
        stage,
        models: [{ name: "m", version: 1, adapters: [] }],
        busy: false,
        seq: 0,
        queued: 0,
        running: 0,
        kv_used: 0,
        kv_total: 33_466,
        kv_handles: 0,
        born,
      };
      response.setHeader("content-type", "application/json");
      return void response.end(JSON.stringify(report));
    }
    this.#names += 1;
    const name = `${born}-${this.#names}`;
    if (url === "/teaselvalve/hold-take") {
      response.setHeader("content-type", "application/json");
      return void response.end(JSON.stringify({ hold: name, born }));
    }
    if (url.startsWith("/teaselvalve/")) return void response.end("{}");
    const requestId = String(headers["x-request-id"]);
    if (headers["x-stage"] === "prefill") {
      response.setHeader("content-type", "application/json");
      const [tokens = 0] = String(headers["x-token-count"]).split(",").map(
        Number,
      );
      const answer = JSON.stringify({ kv_handle: name, tokens, version: 1 });
      return void setTimeout(
        () => response.end(answer),
        tokens / TOKENS_PER_MS,
      );
    }
    const after = Number(headers["last-event-id"] ?? 0);
    this.options.onRun?.(requestId, after);
    response.writeHead(200, {
      "content-type": "text/event-stream",
      "x-request-id": requestId,
      "x-server-stamp": `stamp-${id}-${born}`,
      "x-weight-versions": "1",
    });
    let next = after + 1;
    const timer = setInterval(() => {
      if (response.destroyed) return clearInterval(timer);
      response.write(`id: ${next}\ndata: ${version}.${next}\n\n`);
      next += 1;
      if (next <= this.options.events) return;
      clearInterval(timer);
      response.end();
    }, this.options.eventMs);
    response.once("close", () => clearInterval(timer));
  }
}
