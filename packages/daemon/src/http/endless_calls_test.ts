import { once } from "node:events";
import {
  type AddressInfo,
  createServer,
  type Server,
  type Socket,
} from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { createKeepAliveClient, type HttpClient } from "./calls.ts";

const TIMEOUT_MS = 1_000;
const PIECE_BYTES = 16_384;
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

let server: Server;
let client: HttpClient;
let sockets: Socket[];
let answer: { begin: string; piece: string };

beforeEach(async () => {
  sockets = [];
  client = createKeepAliveClient();
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(answer.begin);
      writeForever(socket);
    });
    socket.on("drain", () => writeForever(socket));
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
});

afterEach(async () => {
  await client.close();
  for (const socket of sockets) socket.destroy();
  server.close();
});

function writeForever(socket: Socket): void {
  while (!socket.destroyed && socket.write(answer.piece));
}

const ANSWERS: [string, "lost" | "timeout", typeof answer][] = [
  ["a header", "lost", {
    begin: "HTTP/1.1 200 OK\r\nx-a: ",
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["headers", "lost", {
    begin: "HTTP/1.1 200 OK\r\n",
    piece: "x-a: b\r\n".repeat(PIECE_BYTES / 8),
  }],
  ["a reason phrase", "timeout", {
    begin: "HTTP/1.1 200 ",
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["a chunk extension", "timeout", {
    begin: `${CHUNKED}1;x=`,
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["a trailer", "lost", {
    begin: `${CHUNKED}1\r\na\r\n0\r\nx-a: `,
    piece: "a".repeat(PIECE_BYTES),
  }],
];

test.each(ANSWERS)(
  "A call whose response has %s without end fails in time, and its connection is closed",
  async (_name, kind, endless) => {
    answer = endless;
    const { port } = server.address() as AddressInfo;
    const startedMs = performance.now();
    const outcome = await client.call({
      method: "GET",
      address: `127.0.0.1:${port}`,
      path: "/",
      timeoutMs: TIMEOUT_MS,
    });
    expect(outcome._unsafeUnwrapErr()).toEqual({ kind });
    expect(performance.now() - startedMs).toBeLessThan(2 * TIMEOUT_MS);
    await expect.poll(() => sockets[0]!.destroyed).toBe(true);
  },
);
