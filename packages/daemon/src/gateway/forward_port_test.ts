import { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { asId, type LogEvent, SILENT_OBSERVER, wait } from "@teaselvalve/core";
import type {
  ForwardedStream,
  StreamListener,
} from "@teaselvalve/core/routing";
import { afterEach, beforeEach, expect, test } from "vitest";
import { listenAsEndpoint } from "../testing/endpoint_server.ts";
import { createForwardPort } from "./forward_port.ts";
import { HOP_HEADER } from "./hop.ts";
import type { EndpointProtocol } from "./protocol.ts";

const MARK = encodeURIComponent(JSON.stringify({ kind: "answer" }));
const HEAD = `HTTP/1.1 200 OK\r\n${HOP_HEADER}: ${MARK}\r\n`;

let server: Server;
let address: string;
let respond: (socket: Socket) => void;
let sockets: Socket[];
let logged: LogEvent[];
let received: string;

beforeEach(async () => {
  sockets = [];
  logged = [];
  received = "";
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => respond(socket));
  });
  address = (await listenAsEndpoint(server)).address;
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
});

function forward(
  listener: Partial<StreamListener> = {},
  { signal = new AbortController().signal, wholeMs = 2_000 } = {},
): ForwardedStream {
  const port = createForwardPort({
    protocol: {} as EndpointProtocol,
    observer: { ...SILENT_OBSERVER, log: (event) => void logged.push(event) },
    onNotice: () => {},
  });
  return port.forward({ peerAddress: address } as never, {
    request: {
      id: asId("attempt-1"),
      method: "GET",
      target: "/a",
      rawHeaders: [],
      body: Buffer.alloc(0),
    } as never,
    hop: { from: asId("vm-1"), runs: 0, origin: null },
    timeLeftMs: wholeMs,
    wholeMs,
    lastEventId: null,
    resumes: null,
    signal,
    listener: {
      onHead: (head) => listener.onHead?.(head),
      onData: (bytes) => {
        received += Buffer.from(bytes).toString();
        return listener.onData?.(bytes) ?? true;
      },
    },
  });
}

const BROKEN: Record<string, (socket: Socket) => void> = {
  "is closed before its head": (socket) => void socket.end("HTTP/1.1 2"),
  "is reset before its head": (socket) => void socket.resetAndDestroy(),
  "has no mark": (socket) =>
    void socket.end("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"),
  "is closed in its body": (socket) =>
    void socket.end(`${HEAD}Content-Length: 9\r\n\r\nhalf`),
  "is reset in its body without a length": (socket) => {
    socket.write(`${HEAD}\r\nhalf`);
    setTimeout(() => socket.resetAndDestroy(), 20);
  },
};

test.each(Object.entries(BROKEN))(
  "A request sent on to a VM whose answer %s is lost",
  async (_name, answer) => {
    respond = answer;
    const result = await forward().ended;
    expect(result._unsafeUnwrapErr()).toMatchObject({ kind: "lost" });
    expect(logged).toEqual([]);
  },
);

test("An answer of a VM that is reset while its caller doesn't read is read, and then lost", async () => {
  respond = BROKEN["is reset in its body without a length"]!;
  const stream = forward({ onData: () => false });
  let isEnded = false;
  void stream.ended.then(() => (isEnded = true));
  await wait(100);
  stream.resume();
  const result = await stream.ended;
  expect(isEnded).toBe(true);
  expect(result._unsafeUnwrapErr()).toMatchObject({ kind: "lost" });
  expect(received).toBe("half");
});

test.each(["onHead", "onData"] as const)(
  "An exception of %s for an answer of a VM ends this request alone, and is logged",
  async (callback) => {
    respond = (socket) =>
      void socket.write(`${HEAD}Content-Length: 2\r\n\r\nok`);
    const result = await forward({
      [callback]: () => {
        throw new Error("broken listener");
      },
    }).ended;
    expect(result._unsafeUnwrapErr()).toMatchObject({ kind: "lost" });
    expect(logged).toMatchObject([{
      event: "connection-fault",
      call: "forward",
      peer: address,
      attempt: "attempt-1",
      thrownIn: callback,
    }]);
  },
);

test("A request sent on to a VM that falls silent, or whose caller leaves, ends in time", async () => {
  respond = () => {};
  const late = await forward({}, { wholeMs: 50 }).ended;
  expect(late._unsafeUnwrapErr()).toEqual({ kind: "timeout" });
  const caller = new AbortController();
  const left = forward({}, { signal: caller.signal });
  caller.abort();
  expect((await left.ended)._unsafeUnwrapErr()).toEqual({ kind: "aborted" });
});
