import { createServer, type Server, type Socket } from "node:net";
import { asId, type LogEvent, SILENT_OBSERVER, wait } from "@teaselvalve/core";
import type { EndpointEntry, StageOrder } from "@teaselvalve/core/routing";
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
