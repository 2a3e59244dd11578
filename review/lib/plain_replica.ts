/** A sound replica of a plain service, which works on each call for a while. */
import { once } from "node:events";
import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { PLAIN } from "./configuration.ts";

/** A call that reached the replica. */
export interface Arrival {
  readonly id: string;
  readonly atMs: number;
  /** When it was answered; null if it was not. */
  answeredAtMs: number | null;
}

/** Options of {@link PlainReplica.start}. */
export interface PlainReplicaOptions {
  readonly id: string;
  readonly workMs: number;
  readonly onArrival?: (arrival: Arrival) => void;
}

/** Serves calls until it exits. */
export class PlainReplica {
  readonly id: string;
  readonly arrivals: Arrival[] = [];
  readonly #born = Date.now();
  #server: Server;

  private constructor({ id, workMs, onArrival }: PlainReplicaOptions) {
    this.id = id;
    this.#server = createServer((incoming, response) => {
      incoming.resume();
      response.on("error", () => {});
      if (incoming.url === "/health") {
        response.setHeader("x-instance-id", id);
        return void response.end();
      }
      const { headers } = incoming;
      if ((headers["x-expect-instance"] ?? id) !== id) {
        response.writeHead(421, { "x-instance-id": id });
        return void response.end();
      }
      const arrival: Arrival = {
        id: String(headers["x-request-id"]),
        atMs: performance.now(),
        answeredAtMs: null,
      };
      this.arrivals.push(arrival);
      onArrival?.(arrival);
      setTimeout(() => {
        if (response.destroyed) return;
        arrival.answeredAtMs = performance.now();
        const isStream = headers["x-model"] !== undefined;
        response.writeHead(200, {
          "x-request-id": arrival.id,
          "x-server-stamp": `stamp-${id}`,
          ...(isStream ? { "content-type": "text/event-stream" } : {}),
        });
        const body = `ran ${arrival.id} at ${id}`;
        response.end(isStream ? `id: 1\ndata: ${body}\n\n` : body);
      }, workMs);
    });
  }

  static async start(options: PlainReplicaOptions): Promise<PlainReplica> {
    const replica = new PlainReplica(options);
    replica.#server.listen(0, "127.0.0.1");
    await once(replica.#server, "listening");
    return replica;
  }

  /** The entry that it writes to the store. */
  entry(state: "ready" | "draining" = "ready") {
    const { port } = this.#server.address() as AddressInfo;
    return {
      service: PLAIN,
      address: `127.0.0.1:${port}`,
      zone: "helsinki-a",
      version: "v1",
      slots: 6,
      state,
      cold_left_ms: 0,
      born: this.#born,
      seq: 1,
    };
  }

  /** Exits: what it works on is cut off. */
  exit(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }
}
