import { Buffer } from "node:buffer";
import { createServer, type Server, type Socket } from "node:net";
import { asId, SILENT_OBSERVER } from "@teaselvalve/core";
import type {
  EndpointEntry,
  Send,
  SendFailure,
} from "@teaselvalve/core/routing";
import type { Result } from "neverthrow";
import { afterEach, beforeEach, expect, test } from "vitest";
import { listenAsEndpoint } from "../testing/endpoint_server.ts";
import { createRoutedEndpointPort } from "./endpoint_port.ts";
import type { EndpointProtocol } from "./protocol.ts";

/** Far more time than an answer needs to reach its bound of bytes. */
const LIMIT_MS = 15_000;
/** Eight million chunks take seconds of processor time. */
const SMALL_CHUNKS_LIMIT_MS = 90_000;
const PIECE_BYTES = 16_384;
const KIB = 1_024;
const CHUNKED = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK = `${PIECE_BYTES.toString(16)}\r\n${"a".repeat(PIECE_BYTES)}\r\n`;

let server: Server;
let endpoint: EndpointEntry;
let socket: Socket | undefined;
let closed: Promise<unknown>;
let answer: { begin: string; piece: string };

beforeEach(async () => {
  server = createServer((accepted) => {
    socket = accepted;
    closed = new Promise((resolve) => accepted.once("close", resolve));
    accepted.on("error", () => {});
    accepted.once("data", () => {
      accepted.write(answer.begin);
      writeForever(accepted);
    });
    accepted.on("drain", () => writeForever(accepted));
  });
  endpoint = await listenAsEndpoint(server);
});

afterEach(() => {
  socket?.destroy();
  server.close();
});

function writeForever(socket: Socket): void {
  while (answer.piece && !socket.destroyed && socket.write(answer.piece));
}

const PROTOCOL = {
  requestHeaders: () => [],
  readAnswerHeaders: () => ({
    attemptId: null,
    notExecuted: false,
    misdirected: false,
    isStamped: true,
  }),
  readPrefillAnswer: () => ({}),
  readReservation: () => "r",
  readReport: () => ({}),
  readStartTime: () => null,
  reserveCall: () => ({ method: "POST", path: "/reserve" }),
  reportCall: () => ({ method: "GET", path: "/report" }),
  orderCall: () => ({ method: "POST", path: "/order" }),
} as unknown as EndpointProtocol;

const port = createRoutedEndpointPort({
  protocol: PROTOCOL,
  observer: SILENT_OBSERVER,
});

function createSend(limitMs = LIMIT_MS): Send {
  return {
    request: {
      id: asId("attempt-1"),
      method: "GET",
      host: "a.example",
      target: "/a",
      rawHeaders: [],
      body: Buffer.alloc(0),
      receivedAtMs: performance.now(),
      callerTimeoutMs: limitMs,
      lastEventId: null,
      resumes: null,
      prompt: null,
    },
    timeLeftMs: limitMs,
    firstByteMs: limitMs,
    wholeMs: limitMs,
    signal: new AbortController().signal,
  };
}

function stream(limitMs?: number) {
  const listener = { onHead() {}, onData: () => true };
  return port.stream(endpoint, { ...createSend(limitMs), listener }).ended;
}

type Call = () => Promise<Result<unknown, SendFailure>>;

const CALLS: Record<string, Call> = {
  call: () => port.call(endpoint, createSend()),
  prefill: () => port.prefill(endpoint, createSend()),
  reservation: () =>
    port.reserve(endpoint, {
      tokens: 1,
      ttlMs: LIMIT_MS,
      timeoutMs: LIMIT_MS,
      signal: new AbortController().signal,
    }),
  report: () => port.report(endpoint, { timeoutMs: LIMIT_MS }),
};

/** Makes a call; returns how it failed, once its connection is closed. */
async function failureOf(call: Call): Promise<SendFailure> {
  const outcome = await call();
  await closed;
  return outcome._unsafeUnwrapErr();
}

const FRAMINGS: [string, { begin: string; piece: string }][] = [
  ["a header", {
    begin: "HTTP/1.1 200 OK\r\nx-a: ",
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["headers", {
    begin: "HTTP/1.1 200 OK\r\n",
    piece: "x-a: b\r\n".repeat(PIECE_BYTES / 8),
  }],
  ["a reason phrase", {
    begin: "HTTP/1.1 200 ",
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["informational responses", {
    begin: "",
    piece: "HTTP/1.1 103 Early Hints\r\n\r\n".repeat(500),
  }],
  ["a chunk extension", {
    begin: `${CHUNKED}1;x=`,
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["a trailer", {
    begin: `${CHUNKED}1\r\na\r\n0\r\nx-a: `,
    piece: "a".repeat(PIECE_BYTES),
  }],
  ["trailers", {
    begin: `${CHUNKED}1\r\na\r\n0\r\n`,
    piece: "x-a: b\r\n".repeat(PIECE_BYTES / 8),
  }],
];

test.each(FRAMINGS)(
  "A call, and a stream, whose answer has %s without end are lost",
  async (_name, framing) => {
    answer = framing;
    expect(await failureOf(CALLS.call!)).toMatchObject({ kind: "lost" });
    expect(await failureOf(stream)).toMatchObject({ kind: "lost" });
  },
);

test.each(Object.entries(CALLS))(
  "A %s whose answer has a body without end is lost",
  async (_name, call) => {
    answer = { begin: CHUNKED, piece: CHUNK };
    expect(await failureOf(call)).toEqual({
      kind: "lost",
      detail: "The answer is too large",
    });
  },
);

test("An order whose answer has a body without end is lost", async () => {
  answer = { begin: CHUNKED, piece: CHUNK };
  const outcome = await port.orderStage(endpoint, {
    stage: "decode",
    holder: "vm-1",
    fencingNumber: 1,
    expectedSequence: 1,
    timeoutMs: LIMIT_MS,
  });
  await closed;
  expect(outcome).toBe("lost");
});

test.each([["prefill"], ["reservation"], ["report"]])(
  "A %s may not have an answer as large as a call's",
  async (name) => {
    const sizeBytes = 65 * KIB;
    answer = {
      begin: `HTTP/1.1 200 OK\r\nContent-Length: ${sizeBytes}\r\n\r\n${
        "a".repeat(sizeBytes)
      }`,
      piece: "",
    };
    expect(await failureOf(CALLS[name]!)).toEqual({
      kind: "lost",
      detail: "The answer is too large",
    });
  },
);

test("A body without end in small chunks is bounded by its size, not by its framing", async () => {
  answer = { begin: CHUNKED, piece: "1\r\na\r\n".repeat(2_000) };
  const call = () => port.call(endpoint, createSend(SMALL_CHUNKS_LIMIT_MS));
  expect(await failureOf(call)).toEqual({
    kind: "lost",
    detail: "The answer is too large",
  });
});

test("A stream is not cut for its size", async () => {
  answer = { begin: CHUNKED, piece: CHUNK };
  expect(await failureOf(() => stream(500))).toEqual({ kind: "timeout" });
});
