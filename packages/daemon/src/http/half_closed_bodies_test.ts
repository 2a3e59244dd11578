import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { Admission } from "./admission.ts";
import { readBytes, sendText } from "./exchange.ts";
import { pacedOf } from "./paced_connection.ts";
import { createHttpComponent } from "./server.ts";
import { PROCESS_UNREAD_TIME } from "./unread_time.ts";

const LEFT_MS = 500;
const WORK_MS = 5;
const BODY = "x".repeat(200_000);

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
      while (performance.now() < atMs + WORK_MS);
      sendText(response, "served", "text/plain");
    },
  });
  await component.start();
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
  component.abort?.();
  await component.stop();
  const late = begun.filter((run) =>
    run.atMs - closedAtMs > LEFT_MS &&
    (run.closedAtMs === null || run.atMs - run.closedAtMs < 300)
  );
  expect(late.length).toBeLessThanOrEqual(3);
});
