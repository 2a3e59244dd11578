import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { deferred } from "../testing/deferred.ts";
import { freePort } from "../testing/ports.ts";
import { type Exchange, parseJson, readBody, sendJson } from "./exchange.ts";
import { sendProblem } from "./problem.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";
import { type Limits, SettingsSchema } from "../settings/schema.ts";

const DEFAULT_LIMITS: Limits = SettingsSchema.shape.limits.parse({});

let part: HttpComponent;
let address: { host: string; port: number };
const refusals: string[] = [];

afterEach(async () => {
  part.abort?.();
  await part.stop();
  refusals.length = 0;
});

async function serve(
  limits: Partial<Limits>,
  handle: (exchange: Exchange) => Promise<void> | void = answerBody,
): Promise<void> {
  address = { host: "127.0.0.1", port: await freePort() };
  part = createHttpComponent({
    name: "callers",
    address: `${address.host}:${address.port}`,
    handle,
    limits: { ...DEFAULT_LIMITS, ...limits },
    observer: {
      ...SILENT_OBSERVER,
      count: (_counter, reason) => refusals.push(reason),
    },
    requestLogLevel: "info",
  });
  await part.start();
}

async function answerBody({ incoming, response }: Exchange): Promise<void> {
  const body = (await readBody(incoming, 2_000)).andThen(parseJson);
  if (body.isErr()) sendProblem(response, body.error);
  else sendJson(response, body.value);
}

function open(): Socket {
  const socket = connect(address);
  socket.on("error", () => {});
  return socket;
}

/** Holds up the whole process, as a suspension does. */
function block(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

/** Sends raw bytes and reads until the server closes the connection. */
async function exchange(bytes: string): Promise<string> {
  const socket = open();
  socket.write(bytes);
  let text = "";
  socket.on("data", (chunk) => text += chunk);
  await once(socket, "close");
  return text;
}

function post(body: string, headers = ""): string {
  return `POST / HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n${headers}Content-Length: ${body.length}\r\n\r\n${body}`;
}

test("answers a well-formed request with its id", async () => {
  await serve({});
  const text = await exchange(post('{"a":1}'));
  expect(text).toMatch(/^HTTP\/1.1 200/);
  expect(text).toMatch(/request-id: [0-9a-f-]{36}/);
  expect(text).toContain('{"a":1}');
});

test.each([
  ["malformed JSON", post("{"), 400, "bad-request"],
  ["a body over the limit", post("x".repeat(3_000)), 413, "body-too-large"],
  [
    "a chunked body over the limit",
    `POST / HTTP/1.1\r\nHost: vm\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n${
      "x".repeat(3_000)
    }\r\n0\r\n\r\n`,
    413,
    "body-too-large",
  ],
  ["bytes that are no HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, "bad-request"],
  [
    "a path that is no URL",
    "GET // HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n",
    400,
    "bad-request",
  ],
  [
    "headers over the size limit",
    post("{}", `X-Long: ${"x".repeat(20_000)}\r\n`),
    431,
    "headers-too-large",
  ],
  [
    "a flood of small headers",
    post("{}", "X: 1\r\n".repeat(500)),
    431,
    "headers-too-large",
  ],
])("refuses %s with a problem", async (_name, bytes, status, reason) => {
  await serve({});
  const text = await exchange(bytes);
  expect(text).toContain(`HTTP/1.1 ${status} `);
  expect(text).toContain("application/problem+json");
  expect(text).toContain(`"verdict":"notRun","reason":"${reason}"`);
  expect(await exchange(post("{}"))).toMatch(/^HTTP\/1.1 200/);
});

test("a handler that fails says that the request may have run", async () => {
  await serve({}, () => {
    throw new Error("Broken");
  });
  const text = await exchange(post("{}"));
  expect(text).toMatch(/^HTTP\/1.1 500/);
  expect(text).toContain('"verdict":"mayHaveRun","reason":"internal-error"');
});

test("ends slow senders of headers and of bodies", async () => {
  await serve({ headersMs: 150, requestMs: 300 });
  const [headers, body] = await Promise.all([
    exchange("POST / HTTP/1.1\r\nHost: vm\r\nX-Slow:"),
    exchange("POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: 9\r\n\r\n{"),
  ]);
  expect(headers).toContain("HTTP/1.1 408 ");
  expect(headers).toContain('"reason":"request-timeout"');
  expect(body).toMatch(/HTTP\/1.1 4\d\d /);
});

test("handles no request that it tells of a time-out, however busy it is", async () => {
  const handled = new Set<string>();
  await serve({ headersMs: 200 }, async ({ url, response }) => {
    handled.add(url.pathname);
    await wait(50);
    sendJson(response, {});
  });
  const busy = setInterval(() => block(40), 50);
  const answers = await Promise.all(
    Array.from({ length: 300 }, async (_, at) => {
      const path = `/${at}`;
      await wait(at);
      const socket = open();
      let text = "";
      socket.on("data", (chunk) => text += chunk);
      // Connections time out between one and two intervals of the check.
      setTimeout(
        () => socket.write(post("{}").replace("POST /", `POST ${path}`)),
        50 + (7 * at) % 400,
      );
      await once(socket, "close");
      return { path, timedOut: text.startsWith("HTTP/1.1 408") };
    }),
  );
  clearInterval(busy);
  const timedOut = answers.filter((answer) => answer.timedOut);
  expect(timedOut.length).toBeGreaterThan(0);
  expect(handled.size).toBeGreaterThan(0);
  expect(timedOut.filter(({ path }) => handled.has(path))).toEqual([]);
});

test("answers a request under way as if nothing malformed followed it, and ends", async () => {
  await serve({}, async ({ response }) => {
    await wait(50);
    sendJson(response, {});
  });
  const kept = post("{}").replace("Connection: close\r\n", "");
  const text = await exchange(`${kept}malformed\r\n\r\n`);
  expect(text).toMatch(/^HTTP\/1.1 200/);
  expect(text.match(/HTTP\/1.1/g)).toHaveLength(1);
});

test("answers beside thousands of idle connections", async () => {
  await serve({ headersMs: 60_000 });
  const sockets = Array.from({ length: 2_000 }, open);
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  await expect.poll(() => part.activity().connections).toBe(2_000);
  expect(await exchange(post("{}"))).toMatch(/^HTTP\/1.1 200/);
  for (const socket of sockets) socket.resume();
  await part.stop();
  await expect.poll(() => part.activity().connections).toBe(0);
});

test("closes idle connections with an answer", async () => {
  await serve({ headersMs: 300, idleMs: 300 });
  const answers = await Promise.all(
    Array.from({ length: 200 }, () => exchange("")),
  );
  for (const answer of answers) {
    expect(answer).toContain("HTTP/1.1 408 ");
    expect(answer).toContain('"reason":"request-timeout"');
  }
  await expect.poll(() => part.activity().connections).toBe(0);
});

test("tells connections over the limit so", async () => {
  await serve({ connections: 10 });
  const kept = Array.from({ length: 10 }, open);
  await Promise.all(kept.map((socket) => once(socket, "connect")));
  const text = await exchange(post("{}"));
  expect(text).toMatch(/^HTTP\/1.1 503/);
  expect(text).toContain('"reason":"too-many-connections"');
  expect(refusals).toContain("too-many-connections");
  for (const socket of kept) socket.destroy();
});

test("closes a connection whose reader takes nothing, with bounded memory", async () => {
  let waitingBytes = 0;
  const ended = deferred();
  await serve({ slowReaderMs: 300 }, ({ response }) => {
    response.writeHead(200);
    const timer = setInterval(() => {
      if (!response.writableNeedDrain) response.write("x".repeat(65_536));
      waitingBytes = Math.max(waitingBytes, response.writableLength);
    }, 1);
    response.once("close", () => {
      clearInterval(timer);
      ended.resolve();
    });
  });
  const socket = open();
  socket.pause();
  socket.write(post("{}"));
  await ended.promise;
  expect(refusals).toEqual(["slow-reader"]);
  expect(waitingBytes).toBeLessThan(1_048_576);
  socket.destroy();
});

test("a stop finishes what is under way and takes nothing new", async () => {
  const started = deferred();
  const finish = deferred();
  await serve({}, async ({ response }) => {
    started.resolve();
    await finish.promise;
    sendJson(response, "whole");
  });
  const answer = exchange(post("{}"));
  await started.promise;
  const stopped = part.stop();
  expect(part.activity()).toEqual({ connections: 1, requests: 1, streams: 0 });
  await expect(once(connect(address), "connect")).rejects.toThrow();
  finish.resolve();
  expect(await answer).toContain('"whole"');
  await stopped;
});

test("a stop ends connections that never sent a request", async () => {
  await serve({});
  const silent = open();
  const partial = open();
  await Promise.all([once(silent, "connect"), once(partial, "connect")]);
  await expect.poll(() => part.activity().connections).toBe(2);
  partial.write("POST / HTTP/1.1\r\n");
  await part.stop();
  await expect.poll(() => part.activity().connections).toBe(0);
});

test("a port that is taken fails the start", async () => {
  await serve({});
  const second = createHttpComponent({
    name: "admin",
    address: `${address.host}:${address.port}`,
    handle: answerBody,
    limits: DEFAULT_LIMITS,
    observer: SILENT_OBSERVER,
    requestLogLevel: "info",
  });
  await expect(second.start()).rejects.toMatchObject({ code: "EADDRINUSE" });
  second.abort?.();
});
