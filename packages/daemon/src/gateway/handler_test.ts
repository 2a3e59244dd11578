import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import {
  InProgressCounter,
  mayHaveRun,
  notRun,
  PROCESS_MEMORY,
  SILENT_OBSERVER,
  wait,
} from "@teaselvalve/core";
import type { Route, RoutedOutcome, Router } from "@teaselvalve/core/routing";
import { afterEach, expect, test } from "vitest";
import { createHttpComponent, type HttpComponent } from "../http/server.ts";
import { SettingsSchema } from "../settings/schema.ts";
import { deferred } from "../testing/deferred.ts";
import { freePort } from "../testing/ports.ts";
import { createGatewayHandler } from "./handler.ts";
import type { EndpointProtocol } from "./protocol.ts";

/** Above what the kernel buffers for a caller that doesn't read. */
const BODY_BYTES = 8 * 1_024 * 1_024;

let component: HttpComponent;
let caller: Socket;
let counter: InProgressCounter;
let responses: ServerResponse[];
let finishedWhenIdle: boolean[];

afterEach(async () => {
  caller.destroy();
  component.abort?.();
  await component.stop();
});

const PROTOCOL = {
  readCallerHeaders: () => ({
    attemptId: "attempt-1",
    timeoutMs: null,
    lastEventId: null,
    prompt: null,
  }),
} as unknown as EndpointProtocol;

/** Starts the callers' interface over a router, and connects a caller that doesn't read. */
async function start(
  handle: Router["handle"],
  { timeoutMs = 60_000, ...limits }: {
    slowReaderMs?: number;
    timeoutMs?: number;
  } = {},
): Promise<void> {
  responses = [];
  finishedWhenIdle = [];
  counter = new InProgressCounter(() =>
    finishedWhenIdle.push(responses[0]!.writableFinished)
  );
  const handler = createGatewayHandler({
    router: {
      table: null,
      match: () => ({ name: "r", prefix: "/", timeoutMs }) as unknown as Route,
      refusalOfStop: () => null,
      handle,
    } as unknown as Router,
    protocol: PROTOCOL,
    observer: SILENT_OBSERVER,
    formatRetryAfter: String,
    waitReady: () => Promise.resolve(),
    onCut: () => () => {},
    track: () => counter.track(),
  });
  const address = { host: "127.0.0.1", port: await freePort() };
  component = createHttpComponent({
    name: "callers",
    address: `${address.host}:${address.port}`,
    handle: (exchange) => {
      responses.push(exchange.response);
      return handler(exchange);
    },
    limits: { ...SettingsSchema.shape.limits.parse({}), ...limits },
    observer: SILENT_OBSERVER,
    requestLogLevel: "debug",
  });
  await component.start();
  caller = connect(address);
}

const ABORTED: RoutedOutcome = { kind: "broken", reason: "aborted" };
const ABORTED_CALL: RoutedOutcome = {
  kind: "refused",
  refusal: mayHaveRun("cancelled"),
};
/** Time after which no work for a caller that may have left may go on. */
const LEFT_MS = 500;
const ACCEPT_MS = 100;

const answerLarge: Router["handle"] = () =>
  Promise.resolve({
    kind: "answered",
    answer: { status: 200, headers: [], body: Buffer.alloc(BODY_BYTES) },
  });

test("A request is in progress until its answer has been written to the connection", async () => {
  await start(answerLarge);
  caller.write("GET / HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
  // A caller that reads only after a while.
  await wait(500);
  caller.resume();
  await once(caller, "close");
  expect(finishedWhenIdle).toEqual([true]);
});

test("A request over its workspace's quota gets 429 and the time to retry, and is told that it didn't run", async () => {
  const refusal = notRun("quota-exceeded", { retryAfterMs: 1_234 });
  await start(() => Promise.resolve({ kind: "refused", refusal }));
  caller.write("GET / HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n");
  let answer = "";
  caller.on("data", (bytes: Buffer) => (answer += bytes.toString()));
  await once(caller, "close");
  expect(answer).toMatch(/^HTTP\/1.1 429 /);
  expect(answer.toLowerCase()).toContain("\r\nretry-after: 1234\r\n");
  expect(answer).toContain('"verdict":"notRun"');
  expect(answer).toContain('"reason":"quota-exceeded"');
});

test("A connection that doesn't take its first answer is closed only after the limit", async () => {
  const slowReaderMs = 1_000;
  await start(answerLarge, { slowReaderMs });
  const closed = once(caller, "close");
  caller.write("GET / HTTP/1.1\r\nHost: vm\r\n\r\n");
  await expect.poll(() => responses.length).toBe(1);
  const startedMs = performance.now();
  await expect.poll(() => responses[0]!.destroyed).toBe(true);
  expect(performance.now() - startedMs).toBeGreaterThan(slowReaderMs / 2);
  caller.resume();
  await closed;
});

test("A request of a caller that never reads ends when its connection is closed as stalled", async () => {
  await start(answerLarge, { slowReaderMs: 200 });
  caller.write("GET / HTTP/1.1\r\nHost: vm\r\n\r\n");
  await expect.poll(() => responses.length).toBe(1);
  expect(counter.count).toBe(1);
  await expect.poll(() => counter.count).toBe(0);
});

test("A request whose caller left is in progress until it has been handled", async () => {
  const handled = deferred();
  let signal: AbortSignal | undefined;
  await start((_request, options) => {
    signal = options.signal;
    return handled.promise.then(() => ABORTED);
  });
  caller.write("GET / HTTP/1.1\r\nHost: vm\r\n\r\n");
  await expect.poll(() => signal !== undefined).toBe(true);
  caller.destroy();
  await expect.poll(() => signal!.aborted).toBe(true);
  expect(counter.count).toBe(1);
  handled.resolve();
  await expect.poll(() => counter.count).toBe(0);
});

test("Pipelined requests are begun one after the other, and not once their caller has left", async () => {
  const ends: (() => void)[] = [];
  const targets: string[] = [];
  await start((request) => {
    targets.push(request.target);
    const end = deferred();
    ends.push(() => end.resolve());
    return end.promise.then(() => ({ kind: "complete" }));
  });
  caller.resume();
  for (const target of ["/1", "/2", "/3"]) {
    caller.write(`GET ${target} HTTP/1.1\r\nHost: vm\r\n\r\n`);
  }
  await expect.poll(() => targets).toEqual(["/1"]);
  expect(counter.count).toBe(1);
  ends[0]!();
  await expect.poll(() => targets).toEqual(["/1", "/2"]);
  expect(counter.count).toBe(1);
  caller.resetAndDestroy();
  ends[1]!();
  await expect.poll(() => counter.count).toBe(0);
  expect(targets).toEqual(["/1", "/2"]);
});

test("Pipelined requests behind one that takes long are not begun once their caller closed its half long ago", async () => {
  const targets: string[] = [];
  let abortedAtMs = Infinity;
  await start(async (request, { signal }) => {
    targets.push(request.target);
    await once(signal, "abort");
    abortedAtMs = performance.now();
    return ABORTED_CALL;
  });
  caller.resume();
  const closedAtMs = performance.now();
  caller.end(
    ["/1", "/2", "/3"].map((target) =>
      `GET ${target} HTTP/1.1\r\nHost: vm\r\n\r\n`
    ).join(""),
  );
  await expect.poll(() => responses.length).toBe(3);
  await expect.poll(() => counter.count).toBe(0);
  expect(abortedAtMs - closedAtMs).toBeLessThan(LEFT_MS);
  expect(targets).toEqual(["/1"]);
  expect(responses.map(({ statusCode }) => statusCode))
    .toEqual([504, 503, 503]);
});

test.each(["Content-Length: 1000000", "Transfer-Encoding: chunked"])(
  "A body that doesn't arrive in its request's time, with %s, is refused as not run and holds no memory",
  async (framing) => {
    let routed = 0;
    await start(() => {
      routed += 1;
      return Promise.resolve(ABORTED);
    }, { timeoutMs: 300 });
    let received = "";
    caller.on("data", (bytes) => received += bytes);
    caller.write(`POST / HTTP/1.1\r\nHost: vm\r\n${framing}\r\n\r\n1\r\nx\r\n`);
    await expect.poll(() => received).toContain("HTTP/1.1 408");
    expect(PROCESS_MEMORY.usedBytes("body")).toBe(0);
    await expect.poll(() => counter.count).toBe(0);
    expect(routed).toBe(0);
  },
);

test("A request whose caller may have left long before it was read is not routed", async () => {
  let routed = 0;
  await start(() => {
    routed += 1;
    return Promise.resolve(ABORTED);
  });
  await once(caller, "connect");
  await wait(ACCEPT_MS);
  // Both are in the connection when the VM reads it.
  caller.write("GET / HTTP/1.1\r\nHost: vm\r\n\r\n");
  caller.destroy();
  const endsAtMs = performance.now() + LEFT_MS;
  while (performance.now() < endsAtMs);
  await expect.poll(() => responses.length).toBe(1);
  await expect.poll(() => counter.count).toBe(0);
  expect(routed).toBe(0);
});
