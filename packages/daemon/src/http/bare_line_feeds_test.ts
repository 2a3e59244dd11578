// Guards against heads that one parser takes for a request, and another refuses or reads otherwise.
import { connect, type Socket } from "node:net";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, beforeEach, expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";

const HOST = "127.0.0.1";
const HANDLE_MS = 20;
const SOUND = "POST /sound HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nok";
const CHUNKED = "POST /sound HTTP/1.1\r\nHost: a\r\n" +
  "Transfer-Encoding: chunked\r\n\r\n4\r\na\n\nb\r\n0\r\n\r\n";
const EARLIER_COUNT = 40;

let component: HttpComponent;
let port: number;
let handled: string[];
const sockets: Socket[] = [];

beforeEach(async () => {
  handled = [];
  port = await freePort();
  component = createHttpComponent({
    name: "callers",
    address: `${HOST}:${port}`,
    async handle({ incoming, response, url }) {
      handled.push(url.pathname);
      incoming.resume();
      await wait(HANDLE_MS);
      response.end("answered");
    },
    limits: SettingsSchema.shape.limits.parse({}),
    observer: SILENT_OBSERVER,
    requestLogLevel: "debug",
  });
  await component.start();
});

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy();
  component.abort?.();
  await component.stop();
});

interface Received {
  text: string;
  isClosed: boolean;
}

function open(): { socket: Socket; received: Received } {
  const received: Received = { text: "", isClosed: false };
  const socket = connect(port, HOST);
  sockets.push(socket);
  socket.setNoDelay(true);
  socket.on("error", () => {});
  socket.on("data", (bytes) => received.text += String(bytes));
  socket.once("close", () => received.isClosed = true);
  return { socket, received };
}

function statusesOf({ text }: Received): number[] {
  return [...text.matchAll(/HTTP\/1\.1 (\d{3})/g)].map(([, status]) =>
    Number(status)
  );
}

const BARE_HEADS: Record<string, string> = {
  "the request line": "GET /bare HTTP/1.1\nHost: a\r\n\r\n",
  "a field": "GET /bare HTTP/1.1\r\nHost: a\nX-B: c\r\n\r\n",
  "a field that names a length":
    "POST /bare HTTP/1.1\r\nHost: a\r\nContent-Length: 2\n\r\nok",
  "the last field": "GET /bare HTTP/1.1\r\nHost: a\n\r\n",
  "the head": "GET /bare HTTP/1.1\r\nHost: a\r\n\n",
  "the last field and the head": "GET /bare HTTP/1.1\r\nHost: a\n\n",
  "all lines": "GET /bare HTTP/1.1\nHost: a\n\n",
};
const CASES = Object.keys(BARE_HEADS).flatMap((end) =>
  [false, true].map((inBytes) => [end, inBytes] as const)
);

test.each(CASES)(
  "A request with a bare line feed at the end of %s is refused once and not run, in single bytes: %s",
  async (end, inBytes) => {
    const { socket, received } = open();
    const text = BARE_HEADS[end]!;
    for (const piece of inBytes ? text : [text]) {
      socket.write(piece);
      if (inBytes) await wait(1);
    }
    await expect.poll(() => received.isClosed).toBe(true);
    expect(statusesOf(received)).toEqual([400]);
    expect(received.text).toContain('"verdict":"notRun"');
    expect(received.text).toMatch(/^connection: close\r$/im);
    expect(handled).toEqual([]);
  },
);

test.each(Object.keys(BARE_HEADS))(
  "Requests before one with a bare line feed at the end of %s are answered first, and none behind it is run",
  async (end) => {
    const { socket, received } = open();
    const { socket: other, received: otherReceived } = open();
    socket.write(
      SOUND.repeat(EARLIER_COUNT) + CHUNKED + BARE_HEADS[end] + SOUND,
    );
    other.write(SOUND.repeat(EARLIER_COUNT));
    await expect.poll(() => received.isClosed).toBe(true);
    expect(statusesOf(received)).toEqual([
      ...Array(EARLIER_COUNT + 1).fill(200),
      400,
    ]);
    await expect.poll(() => statusesOf(otherReceived)).toEqual(
      Array(EARLIER_COUNT).fill(200),
    );
    expect(otherReceived.isClosed).toBe(false);
    expect(new Set(handled)).toEqual(new Set(["/sound"]));
    expect(handled).toHaveLength(2 * EARLIER_COUNT + 1);
  },
);

test("A caller that closes its half behind a head with bare line feeds gets the refusal", async () => {
  const { socket, received } = open();
  socket.end(BARE_HEADS["all lines"]!);
  await expect.poll(() => received.isClosed).toBe(true);
  expect(statusesOf(received)).toEqual([400]);
});

test("Empty lines before a request, and line feeds in bodies, don't harm it", async () => {
  const { socket, received } = open();
  socket.write(`\n${SOUND}\r\n\n${CHUNKED}\n\n${CHUNKED}`);
  await expect.poll(() => statusesOf(received)).toEqual([200, 200, 200]);
  expect(received.isClosed).toBe(false);
});

test("Bytes behind a request that begin none get no answer of their own", async () => {
  const { socket, received } = open();
  socket.write(`${SOUND}x\ny\n\n`);
  await expect.poll(() => received.isClosed).toBe(true);
  expect(statusesOf(received)).toEqual([200]);
});
