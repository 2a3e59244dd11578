import { createServer, type Server, type Socket } from "node:net";
import { asId, type LogEvent, SILENT_OBSERVER, wait } from "@teaselvalve/core";
import type {
  EndpointEntry,
  Send,
  StageOrder,
} from "@teaselvalve/core/routing";
import { afterEach, beforeEach, expect, test } from "vitest";
import { listenAsEndpoint } from "../testing/endpoint_server.ts";
import { createRoutedEndpointPort } from "./endpoint_port.ts";
import type { EndpointProtocol } from "./protocol.ts";

const LIMIT_MS = 200;
/** Far more than the limits of the calls. */
const WAIT_MS = 1_500;

let server: Server;
let endpoint: EndpointEntry;
let sockets: Socket[];
let answer: string;

beforeEach(async () => {
  sockets = [];
  answer = "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{";
  server = createServer((socket) => {
    sockets.push(socket);
    socket.on("error", () => {});
    socket.once("data", () => {
      socket.write(answer);
    });
  });
  endpoint = await listenAsEndpoint(server);
});

afterEach(() => {
  for (const socket of sockets) socket.destroy();
  server.close();
});

const PROTOCOL = {
  requestHeaders: () => [],
  readAnswerHeaders: () => ({
    attemptId: null,
    notExecuted: false,
    misdirected: false,
    isStamped: true,
  }),
  reserveCall: () => ({ method: "POST", path: "/reserve" }),
  readReport: () => {
    throw new Error("broken parser");
  },
  linkCheckCall: () => ({ method: "GET", path: "/health" }),
  orderCall: () => ({ method: "POST", path: "/order" }),
  readOrderStatus: () => "accepted",
  releaseCall: () => ({ method: "DELETE", path: "/reserve" }),
  reportCall: () => ({ method: "GET", path: "/report" }),
  readStartTime: () => null,
} as unknown as EndpointProtocol;

function createPort() {
  return createRoutedEndpointPort({
    protocol: PROTOCOL,
    observer: SILENT_OBSERVER,
  });
}

/** What a call resolved with, or "pending" after {@link WAIT_MS}. */
async function outcomeOf(
  call: Promise<{ isOk(): boolean }>,
): Promise<"ok" | "failed" | "pending"> {
  const settled = call.then((result) => result.isOk() ? "ok" : "failed");
  return await Promise.race([settled, wait(WAIT_MS).then(() => "pending")]) as
    | "ok"
    | "failed"
    | "pending";
}

test("A reservation whose answer stops inside its body fails after its timeout", async () => {
  const call = createPort().reserve(endpoint, {
    tokens: 1,
    ttlMs: 1_000,
    timeoutMs: LIMIT_MS,
    signal: new AbortController().signal,
  });
  expect(await outcomeOf(call)).toBe("failed");
});

// Guards against an endpoint that is used by the entry of its previous start.
test.each([["reservation"], ["prefill"], ["report"]] as const)(
  "A %s by an endpoint that has started again fails with its start time",
  async (call) => {
    const { bornAtMs } = endpoint;
    const send = {
      request: {
        id: asId("attempt-1"),
        method: "GET",
        target: "/",
        body: null,
      },
      timeLeftMs: LIMIT_MS,
      firstByteMs: LIMIT_MS,
      signal: new AbortController().signal,
    } as unknown as Send;
    const port = createRoutedEndpointPort({
      protocol: {
        ...PROTOCOL,
        readStartTime: (text) => JSON.parse(text).born ?? null,
        readReservation: () => asId("r"),
        readPrefillAnswer: () => ({ handle: asId("kv"), tokens: 1 }),
        readReport: () => ({ stage: "decode", busy: false, orderSequence: 0 }),
      },
      observer: SILENT_OBSERVER,
    });
    const make = () => {
      if (call === "report") {
        return port.report(endpoint, { timeoutMs: LIMIT_MS });
      }
      if (call === "prefill") return port.prefill(endpoint, send);
      return port.reserve(endpoint, {
        tokens: 1,
        ttlMs: 1_000,
        timeoutMs: LIMIT_MS,
        signal: send.signal,
      });
    };
    const state = (body: string) =>
      `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
    answer = state(`{"born":${bornAtMs + 7}}`);
    expect((await make())._unsafeUnwrapErr())
      .toEqual({ kind: "restarted", bornAtMs: bornAtMs + 7 });
    for (const body of [`{"born":${bornAtMs}}`, "{}"]) {
      answer = state(body);
      expect((await make()).isOk()).toBe(true);
    }
  },
);

test("An exception while an answer is parsed makes this answer lost, and is logged", async () => {
  answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
  const logged: LogEvent[] = [];
  const port = createRoutedEndpointPort({
    protocol: PROTOCOL,
    observer: { ...SILENT_OBSERVER, log: (event) => void logged.push(event) },
  });
  const report = await port.report(endpoint, { timeoutMs: LIMIT_MS });
  expect(report._unsafeUnwrapErr()).toMatchObject({ kind: "lost" });
  expect(logged).toMatchObject([
    { event: "connection-fault", thrownIn: "parse", call: "report" },
  ]);
});

test.each([
  ["reset before its head", ""],
  ["reset in its body", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n{"],
])(
  "A check, an order and a release whose answer is %s have failed, and end nothing else",
  async (_name, text) => {
    server.removeAllListeners("connection");
    server.on("connection", (socket) => {
      sockets.push(socket);
      socket.on("error", () => {});
      socket.once("data", () => {
        socket.write(text);
        setTimeout(() => socket.resetAndDestroy(), 20);
      });
    });
    const logged: LogEvent[] = [];
    const port = createRoutedEndpointPort({
      protocol: PROTOCOL,
      observer: { ...SILENT_OBSERVER, log: (event) => void logged.push(event) },
    });
    const limits = { timeoutMs: WAIT_MS };
    const check = { healthPath: "/health", ...limits };
    expect(await port.checkLink(endpoint, check)).toBe(false);
    expect(await port.orderStage(endpoint, limits as StageOrder)).toBe("lost");
    port.releaseReservation(endpoint, asId("r-1"));
    await expect.poll(() => logged).toMatchObject([
      { event: "give-back-failed", reason: "lost" },
    ]);
  },
);
