import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { Admission } from "./admission.ts";
import { readBytes, sendText } from "./exchange.ts";
import { pacedOf } from "./paced_connection.ts";
import { createHttpComponent } from "./server.ts";
import { PROCESS_UNREAD_TIME } from "./unread_time.ts";

afterEach(() => stop());

const LEFT_MS = 500;
const WORK_MS = 5;
const BODY = "x".repeat(200_000);
const TURN_MS = 100;

let stop: () => Promise<void>;

function block(durationMs: number): void {
  const untilMs = performance.now() + durationMs;
  while (performance.now() < untilMs);
}

/** Serves requests, and tells when the close of a caller's half may have come. */
async function serveCloses(): Promise<{ port: number; closes: number[] }> {
  PROCESS_UNREAD_TIME.start();
  const port = await freePort();
  const closes: number[] = [];
  const component = createHttpComponent({
    name: "callers",
    address: `127.0.0.1:${port}`,
    limits: SettingsSchema.shape.limits.parse({}),
    observer: SILENT_OBSERVER,
    requestLogLevel: "info",
    handle: async ({ incoming, response }) => {
      const connection = pacedOf(incoming.socket);
      connection.once(
        "halfClose",
        () => closes.push(connection.halfClosedAtMs!),
      );
      await readBytes(incoming, BODY.length);
      await wait(2 * LEFT_MS);
      sendText(response, "served", "text/plain");
    },
  });
  await component.start();
  stop = async () => {
    component.abort?.();
    await component.stop();
  };
  return { port, closes };
}

async function openTo(port: number): Promise<Socket> {
  const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
  await once(socket, "connect");
  await wait(100);
  return socket.on("error", () => {}).resume();
}

const POST =
  `POST / HTTP/1.1\r\nhost: vm\r\ncontent-length: ${BODY.length}\r\n\r\n${BODY}`;

test("A close behind a large body counts as old as it may be, however long the body's read takes", async () => {
  const { port, closes } = await serveCloses();
  const socket = await openTo(port);
  socket.write(POST);
  socket.end();
  await once(socket, "finish");
  const closedAtMs = performance.now();
  const busy = setInterval(() => block(TURN_MS), 1);
  await expect.poll(() => closes.length).toBe(1);
  clearInterval(busy);
  expect(closes[0]).toBeLessThan(closedAtMs + TURN_MS / 2);
});

test("A close that comes some time after a large body counts as new", async () => {
  const { port, closes } = await serveCloses();
  const socket = await openTo(port);
  socket.write(POST);
  await wait(LEFT_MS);
  const closedAtMs = performance.now();
  socket.end();
  await expect.poll(() => closes.length).toBe(1);
  const stallMs = PROCESS_UNREAD_TIME.boundMs();
  expect(closes[0]).toBeGreaterThan(closedAtMs - TURN_MS - stallMs);
});

test("No request whose large body waited unread is begun long after its caller closed its half", async () => {
  PROCESS_UNREAD_TIME.start();
  const port = await freePort();
  const begun: { atMs: number; closedAtMs: number | null }[] = [];
  const component = createHttpComponent({
    name: "callers",
    address: `127.0.0.1:${port}`,
    limits: SettingsSchema.shape.limits.parse({}),
    observer: SILENT_OBSERVER,
    requestLogLevel: "info",
    admission: {
      gate: new Admission({ observer: SILENT_OBSERVER }),
      timeoutMs: () => null,
      describe: () => ({}),
      formatRetryAfter: String,
    },
    handle: async ({ incoming, response, url }) => {
      const connection = pacedOf(incoming.socket);
      const body = await readBytes(incoming, BODY.length);
      await wait(1);
      const atMs = performance.now();
      if (body.isOk() && url.pathname === "/left") {
        begun.push({ atMs, closedAtMs: connection.halfClosedAtMs });
      }
      block(atMs + WORK_MS - performance.now());
      sendText(response, "served", "text/plain");
    },
  });
  await component.start();
  stop = async () => {
    component.abort?.();
    await component.stop();
  };
  const sockets = Array.from(
    { length: 250 },
    () => connect({ port, host: "127.0.0.1", allowHalfOpen: true }),
  );
  await Promise.all(sockets.map((socket) => once(socket, "connect")));
  await wait(500);
  const write = (socket: Socket, path: string, body: string) => {
    socket.on("error", () => {}).resume();
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: vm\r\ncontent-length: ${body.length}\r\n\r\n${body}`,
    );
  };
  for (const socket of sockets.slice(0, 100)) write(socket, "/busy", "");
  const closed = sockets.slice(100).map(async (socket) => {
    write(socket, "/left", BODY);
    socket.end();
    await Promise.race([once(socket, "finish"), wait(3_000)]);
    return performance.now();
  });
  const closedAtMs = Math.max(...await Promise.all(closed));
  await wait(2_500);
  for (const socket of sockets) socket.destroy();
  const late = begun.filter((run) =>
    run.atMs - closedAtMs > LEFT_MS &&
    (run.closedAtMs === null || run.atMs - run.closedAtMs < 300)
  );
  expect(late.length, JSON.stringify(late)).toBeLessThanOrEqual(3);
});
