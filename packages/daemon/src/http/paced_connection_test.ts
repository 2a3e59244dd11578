import { once } from "node:events";
import { connect, createServer, type Socket } from "node:net";
import { PROCESS_MEMORY, SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, beforeEach, expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { sendJson } from "./exchange.ts";
import { PacedConnection } from "./paced_connection.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";

const PIPELINED = 2_000;

let component: HttpComponent;
let port: number;
let handled: string[];
const sockets: Socket[] = [];

beforeEach(async () => {
  handled = [];
  port = await freePort();
  component = createHttpComponent({
    name: "callers",
    address: `127.0.0.1:${port}`,
    handle: ({ url, response }) => {
      handled.push(url.pathname);
      if (handled.length === 1) open("/other");
      sendJson(response, "whole");
    },
    limits: SettingsSchema.shape.limits.parse({}),
    observer: SILENT_OBSERVER,
    requestLogLevel: "info",
  });
  await component.start();
});

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  component.abort?.();
  await component.stop();
});

function open(path: string, { requests = 1 } = {}): void {
  const socket = connect(port, "127.0.0.1");
  sockets.push(socket);
  socket.resume();
  socket.on("error", () => {});
  socket.write(`GET ${path} HTTP/1.1\r\nHost: a\r\n\r\n`.repeat(requests));
}

// Guards against connections that have all that they sent handled in one turn of the event loop.
test("Pipelined requests of one connection don't hold up a request on another", async () => {
  open("/pipelined", { requests: PIPELINED });
  await expect.poll(() => handled.length).toBe(PIPELINED + 1);
  expect(handled.indexOf("/other")).toBeLessThan(PIPELINED / 10);
});

// Guards against a parser that fails anew for each of thousands of malformed heads.
test("Nothing behind a refused head is handed to the parser", async () => {
  const slices: string[] = [];
  const raw = createServer((socket) => {
    const paced = new PacedConnection(socket, {
      memory: PROCESS_MEMORY,
      refusals: { refusesNext: () => false, refuseNext: () => "" },
      onRefused: () => {},
    });
    sockets.push(socket);
    paced.on("data", (slice) => {
      slices.push(String(slice));
      paced.stopParsing();
    });
  });
  raw.listen(0, "127.0.0.1");
  await once(raw, "listening");
  port = (raw.address() as { port: number }).port;
  const malformed = "GET / HTTP/1.1\r\nHost\r\n\r\n";
  const socket = connect(port, "127.0.0.1");
  sockets.push(socket);
  socket.write(malformed.repeat(PIPELINED));
  await wait(50);
  socket.write(malformed);
  await wait(50);
  raw.close();
  expect(slices).toEqual([malformed]);
});
