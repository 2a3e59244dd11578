import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { freePort } from "../testing/ports.ts";
import {
  type ExchangeFailure,
  type ExchangeRequest,
  openExchange,
} from "./fresh_exchange.ts";

let server: Server;
let address: string;
let behave: (socket: Socket) => void;
let sockets: Socket[];

beforeEach(async () => {
  sockets = [];
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => behave(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
});

interface Outcome {
  readonly status: number;
  readonly body: string;
  readonly failure: ExchangeFailure | null;
}

function exchange(options: Partial<ExchangeRequest> = {}): Promise<Outcome> {
  return new Promise((resolve) => {
    let status = 0;
    const chunks: Buffer[] = [];
    const end = (failure: ExchangeFailure | null) =>
      resolve({ status, body: Buffer.concat(chunks).toString(), failure });
    openExchange({
      address,
      method: "POST",
      path: "/a/b",
      headers: ["X-One", "1"],
      body: "hello",
      connectTimeoutMs: 1_000,
      firstByteMs: 1_000,
      ...options,
    }, {
      onHead: (code) => (status = code),
      onData: (bytes) => chunks.push(bytes) > 0,
      onEnd: () => end(null),
      onFailure: end,
    });
  });
}

test("An answer with its length is complete", async () => {
  behave = (socket) =>
    socket.write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  expect(await exchange()).toEqual({ status: 200, body: "ok", failure: null });
});

test("An answer without a length is complete once its connection ends", async () => {
  behave = (socket) => socket.end("HTTP/1.1 200 OK\r\n\r\nwhole");
  expect(await exchange()).toMatchObject({ body: "whole", failure: null });
});

test("An answer without a length is not complete when its connection is reset", async () => {
  behave = (socket) => {
    socket.write("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
    setTimeout(() => socket.resetAndDestroy(), 20);
  };
  expect(await exchange()).toMatchObject({
    status: 200,
    failure: { kind: "lost", detail: "ECONNRESET" },
  });
});

test("A reset that comes with the last bytes is not taken for an end", async () => {
  behave = (socket) => {
    socket.write("HTTP/1.1 200 OK\r\n\r\npart");
    socket.resetAndDestroy();
  };
  expect(await exchange()).toMatchObject({ failure: { kind: "lost" } });
});

test.each([
  ["with a length", "Content-Length: 10\r\n\r\npart"],
  ["in chunks", "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n"],
])("An answer %s that ends early is lost", async (_name, rest) => {
  behave = (socket) => socket.end(`HTTP/1.1 200 OK\r\n${rest}`);
  expect(await exchange()).toMatchObject({ failure: { kind: "lost" } });
});

test("What is no answer is lost", async () => {
  behave = (socket) => socket.end("SSH-2.0-nothing\r\n\r\n");
  expect(await exchange()).toMatchObject({ failure: { kind: "lost" } });
});

test("A second answer on the connection belongs to no request", async () => {
  const answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
  behave = (socket) => socket.write(`${answer}ok${answer}no`);
  expect(await exchange()).toEqual({ status: 200, body: "ok", failure: null });
});

test("A refused connection brought nothing to the endpoint", async () => {
  const outcome = await exchange({ address: `127.0.0.1:${await freePort()}` });
  expect(outcome.failure).toMatchObject({ kind: "notSent" });
});

test("Silence ends an exchange, and its connection", async () => {
  behave = () => {};
  const outcome = await exchange({ firstByteMs: 100 });
  expect(outcome.failure).toEqual({ kind: "timeout" });
  await once(sockets[0]!, "close");
});

test("An abort ends the connection at once", async () => {
  const aborted = new AbortController();
  behave = () => aborted.abort();
  const startedMs = performance.now();
  const outcome = await exchange({ signal: aborted.signal });
  expect(outcome.failure).toEqual({ kind: "aborted" });
  await once(sockets[0]!, "close");
  expect(performance.now() - startedMs).toBeLessThan(500);
});
