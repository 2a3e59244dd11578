import { once } from "node:events";
import { connect, Server, type Socket } from "node:net";
import { setImmediate } from "node:timers/promises";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, expect, test, vi } from "vitest";
import { deferred } from "../testing/deferred.ts";
import { freePort } from "../testing/ports.ts";
import { type Exchange, parseJson, readBody, sendJson } from "./exchange.ts";
import { sendProblem } from "./problem.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";
import { type Limits, SettingsSchema } from "../settings/schema.ts";

const DEFAULT_LIMITS: Limits = SettingsSchema.shape.limits.parse({});

let component: HttpComponent;
let address: { host: string; port: number };
const refusals: string[] = [];

afterEach(async () => {
  component.abort?.();
  await component.stop();
  refusals.length = 0;
});

async function serve(
  limits: Partial<Limits>,
  handle: (exchange: Exchange) => Promise<void> | void = answerBody,
): Promise<void> {
  address = { host: "127.0.0.1", port: await freePort() };
  component = createHttpComponent({
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
  await component.start();
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

/** Blocks the event loop, as a freeze of the process does. */
function block(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

/** Sends raw bytes and returns everything received until the connection closes. */
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

test("answers a well-formed request and returns a request id", async () => {
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
  ["bytes that are not HTTP", "\x16\x03\x01 hello\r\n\r\n", 400, "bad-request"],
  [
    "a path that is not a URL",
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
    "too many small headers",
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

test("errors of the listener end no process", async () => {
  const listen = vi.spyOn(Server.prototype, "listen");
  await serve({});
  const server = listen.mock.contexts.at(-1) as Server;
  for (let count = 0; count < 2; count += 1) {
    server.emit("error", new Error("accept EMFILE"));
  }
  expect(await exchange(post("{}"))).toMatch(/^HTTP\/1.1 200/);
});

test("a handler that throws reports that the request may have run", async () => {
  await serve({}, () => {
    throw new Error("Broken");
  });
  const text = await exchange(post("{}"));
  expect(text).toMatch(/^HTTP\/1.1 500/);
  expect(text).toContain('"verdict":"mayHaveRun","reason":"internal-error"');
});

test.each([["that stops", ""], ["that is malformed", "zz\r\n"]])(
  "an answered request gets no second answer for a body %s",
  async (_name, rest) => {
    await serve({ headersMs: 150, requestMs: 300 });
    const socket = open();
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.write(
      "POST / HTTP/1.1\r\nHost: vm\r\nTransfer-Encoding: chunked\r\n\r\n" +
        `bb8\r\n${"x".repeat(3_000)}\r\n`,
    );
    await expect.poll(() => text).toContain("}");
    socket.write(rest);
    await once(socket, "close");
    expect(text.match(/HTTP\/1.1 \d+/g)).toEqual(["HTTP/1.1 413"]);
  },
);

test("times out slow request headers and bodies", async () => {
  await serve({ headersMs: 150, requestMs: 300 });
  const [headers, body] = await Promise.all([
    exchange("POST / HTTP/1.1\r\nHost: vm\r\nX-Slow:"),
    exchange("POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: 9\r\n\r\n{"),
  ]);
  expect(headers).toContain("HTTP/1.1 408 ");
  expect(headers).toContain('"reason":"request-timeout"');
  expect(body).toMatch(/HTTP\/1.1 4\d\d /);
});

interface LateAnswer {
  readonly path: string;
  readonly timedOut: boolean;
}

/** Sends requests on open connections, and stalls until these have timed out unread. */
async function sendInStall(
  count: number,
  { headersMs }: { headersMs: number },
): Promise<LateAnswer[]> {
  const { idleMs } = DEFAULT_LIMITS;
  component.setTimeouts({ idleMs, headersMs: DEFAULT_LIMITS.headersMs });
  const sockets = Array.from({ length: count }, open);
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  await expect.poll(() => component.activity().connections).toBe(count);
  // Timers come first in the turn after this, so that timeouts do.
  await setImmediate();
  component.setTimeouts({ idleMs, headersMs });
  const answers = sockets.map(async (socket, index) => {
    const path = `/late-${index}`;
    let text = "";
    socket.on("data", (chunk) => text += chunk);
    socket.write(post("{}").replace("POST /", `POST ${path}`));
    await once(socket, "close");
    return { path, timedOut: text.startsWith("HTTP/1.1 408") };
  });
  block(5 * headersMs);
  return await Promise.all(answers);
}

test("handles no request that it refuses with a timeout, even under load", async () => {
  const handled = new Set<string>();
  const headersMs = 200;
  await serve({ headersMs }, async ({ url, response }) => {
    handled.add(url.pathname);
    await wait(50);
    sendJson(response, {});
  });
  const late = await sendInStall(20, { headersMs });
  expect(late.filter((answer) => !answer.timedOut)).toEqual([]);
  const busy = setInterval(() => block(40), 50);
  const answers = await Promise.all(
    Array.from({ length: 300 }, async (_, index) => {
      const path = `/${index}`;
      await wait(index);
      const socket = open();
      let text = "";
      socket.on("data", (chunk) => text += chunk);
      // Connections time out after between one and two check intervals.
      setTimeout(
        () => socket.write(post("{}").replace("POST /", `POST ${path}`)),
        50 + (7 * index) % 400,
      );
      await once(socket, "close");
      return { path, timedOut: text.startsWith("HTTP/1.1 408") };
    }),
  );
  clearInterval(busy);
  const timedOut = [...late, ...answers].filter((answer) => answer.timedOut);
  expect(timedOut.length).toBeGreaterThan(0);
  expect(handled.size).toBeGreaterThan(0);
  expect(timedOut.filter(({ path }) => handled.has(path))).toEqual([]);
});

test("answers a complete request when malformed bytes follow it, then closes", async () => {
  await serve({}, async ({ response }) => {
    await wait(50);
    sendJson(response, {});
  });
  const keepAliveRequest = post("{}").replace("Connection: close\r\n", "");
  const text = await exchange(`${keepAliveRequest}malformed\r\n\r\n`);
  expect(text).toMatch(/^HTTP\/1.1 200/);
  expect(text.match(/HTTP\/1.1/g)).toHaveLength(1);
});

test("answers while thousands of connections are idle", async () => {
  await serve({ headersMs: 60_000 });
  const sockets = Array.from({ length: 2_000 }, open);
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  await expect.poll(() => component.activity().connections).toBe(2_000);
  expect(await exchange(post("{}"))).toMatch(/^HTTP\/1.1 200/);
  for (const socket of sockets) socket.resume();
  await component.stop();
  await expect.poll(() => component.activity().connections).toBe(0);
});

test("sends a timeout response to idle connections before closing them", async () => {
  await serve({ headersMs: 300, idleMs: 300 });
  const answers = await Promise.all(
    Array.from({ length: 200 }, () => exchange("")),
  );
  for (const answer of answers) {
    expect(answer).toContain("HTTP/1.1 408 ");
    expect(answer).toContain('"reason":"request-timeout"');
  }
  await expect.poll(() => component.activity().connections).toBe(0);
});

test("refuses connections over the limit with a response", async () => {
  await serve({ connections: 10 });
  const occupied = Array.from({ length: 10 }, open);
  await Promise.all(occupied.map((socket) => once(socket, "connect")));
  const text = await exchange(post("{}"));
  expect(text).toMatch(/^HTTP\/1.1 503/);
  expect(text).toContain('"reason":"too-many-connections"');
  expect(refusals).toContain("too-many-connections");
  for (const socket of occupied) socket.destroy();
});

test("closes a connection whose client stops reading, with bounded memory", async () => {
  let bufferedBytes = 0;
  const ended = deferred();
  await serve({ slowReaderMs: 300 }, ({ response }) => {
    response.writeHead(200);
    const timer = setInterval(() => {
      if (!response.writableNeedDrain) response.write("x".repeat(65_536));
      bufferedBytes = Math.max(bufferedBytes, response.writableLength);
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
  expect(bufferedBytes).toBeLessThan(1_048_576);
  socket.destroy();
});

test("stopping completes requests in progress and accepts no new connections", async () => {
  const started = deferred();
  const finish = deferred();
  await serve({}, async ({ response }) => {
    started.resolve();
    await finish.promise;
    sendJson(response, "whole");
  });
  const answer = exchange(post("{}"));
  await started.promise;
  const stopped = component.stop();
  expect(component.activity()).toEqual({
    connections: 1,
    requests: 1,
    streams: 0,
  });
  await expect(once(connect(address), "connect")).rejects.toThrow();
  finish.resolve();
  expect(await answer).toContain('"whole"');
  await stopped;
});

test("stopping closes connections that never sent a request", async () => {
  await serve({});
  const idle = open();
  const partial = open();
  await Promise.all([once(idle, "connect"), once(partial, "connect")]);
  await expect.poll(() => component.activity().connections).toBe(2);
  partial.write("POST / HTTP/1.1\r\n");
  await component.stop();
  await expect.poll(() => component.activity().connections).toBe(0);
});

test("starting fails if the port is in use", async () => {
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
