import { once } from "node:events";
import { connect, type Socket } from "node:net";
import process from "node:process";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, beforeEach, expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { Admission } from "./admission.ts";
import { sendText } from "./exchange.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";

const HEAD = "GET / HTTP/1.1\r\nHost: vm\r\n";
const REQUEST = `${HEAD}\r\n`;
const REFUSED = /HTTP\/1\.1 503 [^\r]*\r\nRetry-After: [\d.]+\r\n/gi;
const SERVED = /HTTP\/1\.1 200 /g;
const IDLE_MS = 1_500;
const HEADERS_MS = 800;
const CONNECTIONS = 300;
const FEW = 10;

let component: HttpComponent;
let socket: Socket;
let port: number;
let isBusy: boolean;
let leaving: boolean;
/** How long callers wait. */
let timeoutMs: number;
let handled: number;
let received: string;

beforeEach(async () => {
  isBusy = false;
  leaving = false;
  timeoutMs = 3_000;
  handled = 0;
  port = await freePort();
  const gate = new Admission({ observer: SILENT_OBSERVER });
  gate.refusesNext = () => isBusy;
  gate.refusesNew = () => isBusy;
  component = createHttpComponent({
    name: "callers",
    address: `127.0.0.1:${port}`,
    limits: SettingsSchema.shape.limits.parse({
      connections: String(CONNECTIONS),
      idleMs: String(IDLE_MS),
      headersMs: String(HEADERS_MS),
    }),
    observer: SILENT_OBSERVER,
    requestLogLevel: "info",
    shouldCloseConnections: () => leaving,
    admission: {
      gate,
      timeoutMs: () => timeoutMs,
      describe: () => ({}),
      formatRetryAfter: (retryAfterMs) => String(retryAfterMs / 1_000),
    },
    handle: async ({ incoming, response }) => {
      handled += 1;
      incoming.resume();
      await wait(30);
      sendText(response, "served", "text/plain");
    },
  });
  await component.start();
  await open();
});

afterEach(async () => {
  socket.destroy();
  component.abort?.();
  await component.stop();
});

async function open(): Promise<void> {
  received = "";
  socket = connect(port, "127.0.0.1");
  socket.setNoDelay(true);
  socket.on("error", () => {});
  socket.on("data", (bytes) => (received += bytes));
  await once(socket, "connect");
}

function count(pattern: RegExp): number {
  return received.match(pattern)?.length ?? 0;
}

async function expectAnswers(
  answers: { refused: number; served: number },
): Promise<void> {
  await expect.poll(() => ({ refused: count(REFUSED), served: count(SERVED) }))
    .toEqual(answers);
}

test("A kept connection stays open while its requests are refused, and is served once the VM is free", async () => {
  socket.write(REQUEST);
  await expectAnswers({ refused: 0, served: 1 });
  isBusy = true;
  for (const refused of [1, 2]) {
    socket.write(REQUEST);
    await expectAnswers({ refused, served: 1 });
  }
  expect(handled).toBe(1);
  isBusy = false;
  socket.write(REQUEST);
  await expectAnswers({ refused: 2, served: 2 });
});

test("A new connection stays open while its requests are refused, and is served once the VM is free", async () => {
  socket.destroy();
  isBusy = true;
  await open();
  for (const refused of [1, 2]) {
    socket.write(REQUEST);
    await expectAnswers({ refused, served: 0 });
  }
  await wait(1_100);
  socket.write(REQUEST);
  await expectAnswers({ refused: 3, served: 0 });
  isBusy = false;
  socket.write(REQUEST);
  await expectAnswers({ refused: 3, served: 1 });
});

test("A new connection whose request was refused is closed once it is idle", async () => {
  socket.destroy();
  isBusy = true;
  await open();
  socket.write(REQUEST);
  await expectAnswers({ refused: 1, served: 0 });
  const refusedMs = performance.now();
  await once(socket, "close");
  expect(performance.now() - refusedMs).toBeGreaterThan(IDLE_MS - 100);
});

test("Requests behind one in progress are refused after its answer", async () => {
  socket.write(REQUEST.repeat(200));
  await expect.poll(() => handled).toBe(1);
  isBusy = true;
  await expectAnswers({ refused: 199, served: 1 });
  expect(handled).toBe(1);
  expect(received.indexOf(" 200 ")).toBeLessThan(received.indexOf(" 503 "));
});

test("A refusal of a request for a head has no body", async () => {
  socket.write(REQUEST);
  await expectAnswers({ refused: 0, served: 1 });
  isBusy = true;
  received = "";
  socket.write(`${REQUEST.replace("GET", "HEAD")}${REQUEST}`);
  await expectAnswers({ refused: 2, served: 0 });
  expect(received.split("\r\n\r\n")[1]).toMatch(/^HTTP\/1\.1 503/);
});

test("A request whose body comes in pieces isn't taken for others", async () => {
  isBusy = true;
  const body = REQUEST.repeat(2);
  const head = `POST / HTTP/1.1\r\nHost: vm\r\nContent-Length: ${body.length}`;
  for (const piece of [head, `\r\n\r\n${REQUEST}`, REQUEST]) {
    socket.write(piece);
    await wait(10);
  }
  // Only the parser knows its end, so that it waits for its turn.
  await expectAnswers({ refused: 0, served: 1 });
  socket.write(`${head}\r\n\r\n${body}`);
  await expectAnswers({ refused: 1, served: 1 });
  expect(handled).toBe(1);
});

test("A caller that closes its half behind a refused request gets the refusal", async () => {
  socket.write(REQUEST);
  await expectAnswers({ refused: 0, served: 1 });
  isBusy = true;
  const closed = once(socket, "close");
  socket.end(REQUEST);
  await closed;
  await expectAnswers({ refused: 1, served: 1 });
});

test("A caller that reads no answers gets a bounded number of them", async () => {
  socket.write(REQUEST);
  await expectAnswers({ refused: 0, served: 1 });
  socket.pause();
  isBusy = true;
  const before = process.memoryUsage().arrayBuffers +
    process.memoryUsage().heapUsed;
  const flood = REQUEST.repeat(2_000);
  for (let sent = 0; sent < 200; sent += 1) {
    socket.write(flood);
    await wait(1);
  }
  const after = process.memoryUsage().arrayBuffers +
    process.memoryUsage().heapUsed;
  // The caller's own buffer is in this process as well.
  expect(after - before - socket.writableLength).toBeLessThan(64 * 2 ** 20);
});

test("A connection whose first request is refused later isn't closed as too slow", async () => {
  isBusy = true;
  const endMs = performance.now() + 3 * HEADERS_MS;
  while (performance.now() < endMs) {
    socket.write(REQUEST);
    await wait(100);
  }
  expect(received).not.toMatch(/HTTP\/1\.1 408/);
  expect(socket.destroyed).toBe(false);
});

test("A connection that is refused while the VM leaves is closed by its answer", async () => {
  isBusy = true;
  leaving = true;
  const closed = once(socket, "close");
  socket.write(REQUEST);
  await closed;
  expect(received).toMatch(/connection: close/i);
});

test("A stop doesn't wait for connections whose requests were refused", async () => {
  socket.destroy();
  isBusy = true;
  await open();
  socket.write(REQUEST);
  await expectAnswers({ refused: 1, served: 0 });
  const startedMs = performance.now();
  await component.stop();
  expect(performance.now() - startedMs).toBeLessThan(500);
});

test("Requests that waited for a third of their time behind others on their connection are refused", async () => {
  const calls = 60;
  socket.write(REQUEST.repeat(calls));
  await expect.poll(() => count(/HTTP\/1\.1 (?:200|503) /g)).toBe(calls);
  expect(count(/HTTP\/1\.1 503 /g)).toBeGreaterThan(0);
  // Each takes 30 ms, and their callers have 3 s.
  expect(handled).toBeGreaterThan(10);
  expect(handled).toBeLessThanOrEqual(1_000 / 30 + 1);
  const served = count(SERVED);
  socket.write(REQUEST);
  await expect.poll(() => count(SERVED)).toBe(served + 1);
});

// Longer than a refused connection that sends nothing is kept, and than an idle one.
function freeze(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

test.each([
  { name: "A new connection", first: "" },
  { name: "A new connection that was refused before", first: REQUEST },
])(
  "$name whose request arrives while the process is frozen gets an answer",
  async ({ first }) => {
    socket.destroy();
    isBusy = true;
    await open();
    socket.write(first);
    const before = first ? 1 : 0;
    await expectAnswers({ refused: before, served: 0 });
    await wait(100);
    socket.write(REQUEST);
    freeze(2 * IDLE_MS);
    await expectAnswers({ refused: before + 1, served: 0 });
  },
);

test.each(["HEAD", "GET"])(
  "The refusal of a new connection's %s request that closes it has a body only if asked for",
  async (method) => {
    socket.destroy();
    isBusy = true;
    await open();
    const closed = once(socket, "close");
    socket.write(
      `${REQUEST}${HEAD.replace("GET", method)}Connection: close\r\n\r\n`,
    );
    await closed;
    expect(count(REFUSED)).toBe(2);
    const last = received.slice(received.lastIndexOf("HTTP/1.1 503"));
    const [, body] = last.split("\r\n\r\n");
    expect(last).toMatch(/connection: close/i);
    if (method === "HEAD") expect(body).toBe("");
    else expect(JSON.parse(body!).reason).toBe("overloaded");
  },
);

test.each([
  { state: "free", expected: /^HTTP\/1\.1 200/ },
  { state: "busy", expected: /^HTTP\/1\.1 503/ },
])(
  "Connections that are kept after a flood leave room for others while the VM is $state",
  async ({ state, expected }) => {
    isBusy = true;
    const sockets: Socket[] = [];
    const connectOne = async () => {
      const other = connect(port, "127.0.0.1").on("error", () => {});
      sockets.push(other);
      other.write(REQUEST);
      const [answer] = await Promise.race([
        once(other, "data"),
        once(other, "close"),
      ]);
      return String(answer);
    };
    for (let opened = 0; opened < CONNECTIONS; opened += 1) await connectOne();
    isBusy = state === "busy";
    // Few at a time, so that none waits for too long on a slow machine.
    for (let opened = 0; opened < CONNECTIONS / 2; opened += FEW) {
      const others = Array.from({ length: FEW }, () => connectOne());
      for (const answer of await Promise.all(others)) {
        expect(answer).toMatch(expected);
      }
    }
    for (const other of sockets) other.destroy();
  },
);

test("A request whose head comes slowly hasn't waited behind others", async () => {
  timeoutMs = 900;
  socket.write(HEAD);
  await wait(500);
  socket.write("\r\n");
  await expectAnswers({ refused: 0, served: 1 });
});
