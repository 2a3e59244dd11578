/** An HTTP server as a part of the daemon. */
import { randomUUID } from "node:crypto";
import { createServer, type Server } from "node:http";
import { notRun, type Observer } from "@teaselvalve/core";
import type { Part } from "../lifecycle/manager.ts";
import type { Exchange } from "./exchange.ts";
import { sendProblem } from "./problem.ts";

/** Options of {@link createHttpPart}. */
export interface HttpPartOptions {
  name: string;
  /** Host and port. */
  address: string;
  handle: (exchange: Exchange) => Promise<void> | void;
  observer: Observer;
  connections: number;
}

/** Serves one interface. */
export function createHttpPart(options: HttpPartOptions): Part {
  const server: Server = createServer((incoming, response) => {
    const id = randomUUID();
    const url = new URL(incoming.url ?? "/", "http://vm");
    Promise.resolve(options.handle({ incoming, response, url, id })).catch(
      (error) => {
        options.observer.log({
          event: "request-error",
          level: "error",
          request: id,
          interface: options.name,
          message: String(error),
        });
        if (response.headersSent) response.destroy();
        else sendProblem(response, notRun("bad-request"));
      },
    );
  });
  server.maxConnections = options.connections;
  const [host, port] = splitAddress(options.address);
  return {
    name: options.name,
    start: () =>
      new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, host, resolve);
      }),
    stop: () =>
      new Promise<void>((resolve) => {
        server.close(() => resolve());
        server.closeIdleConnections();
      }),
  };
}

/** Splits `host:port`. */
export function splitAddress(address: string): [string, number] {
  const at = address.lastIndexOf(":");
  return [address.slice(0, at), Number(address.slice(at + 1))];
}
