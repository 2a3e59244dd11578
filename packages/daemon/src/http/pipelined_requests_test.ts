import { connect, type Socket } from "node:net";
import { SILENT_OBSERVER, wait } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { createHttpComponent, type HttpComponent } from "./server.ts";

const HOST = "127.0.0.1";
const HEAD = "GET / HTTP/1.1\r\nHost: a\r\n";
const COUNT = 40;
const BODY_BYTES = 4_000;

let component: HttpComponent;
let socket: Socket;
let received: string[];
let answers: number;
let closesConnections = false;

afterEach(async () => {
  socket.destroy();
  closesConnections = false;
  component.abort?.();
  await component.stop();
});

/** Serves requests, each for a while, and opens a connection; returns the most at a time. */
async function serve(handleMs: number): Promise<{ most: number }> {
  received = [];
  answers = 0;
  const inProgress = { now: 0, most: 0 };
  const port = await freePort();
  component = createHttpComponent({
    name: "callers",
    address: `${HOST}:${port}`,
    async handle({ incoming, response, url }) {
      received.push(url.pathname);
      inProgress.now += 1;
      inProgress.most = Math.max(inProgress.most, inProgress.now);
      incoming.resume();
      await wait(handleMs);
      inProgress.now -= 1;
      response.end("answered");
    },
    limits: SettingsSchema.shape.limits.parse({}),
    observer: SILENT_OBSERVER,
    requestLogLevel: "debug",
    shouldCloseConnections: () => closesConnections,
  });
  await component.start();
  socket = connect(port, HOST);
  socket.setNoDelay(true);
  socket.on("error", () => {});
  socket.on("data", (bytes) => {
    answers += String(bytes).match(/HTTP\/1.1 200/g)?.length ?? 0;
  });
  return inProgress;
}

const POST_HEAD =
  `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${BODY_BYTES}\r\n`;
const BODY = "b".repeat(BODY_BYTES);
const REQUESTS = `${HEAD}\r\n`.repeat(COUNT);
const FORMS: Record<string, string[]> = {
  "behind the last byte of a head": [`${HEAD}\r`, `\n${REQUESTS}`],
  "behind the blank line of a head": [HEAD, `\r\n${REQUESTS}`],
  "behind a body that comes with the end of its head": [
    `${POST_HEAD}\r`,
    `\n${BODY}${REQUESTS}`,
  ],
  "behind a head and a body in single bytes": [
    ...`${POST_HEAD}\r\n`,
    `${BODY}${REQUESTS}`,
  ],
  "behind the end of a body in chunks": [
    `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n`,
    `\r\n${REQUESTS}`,
  ],
};

test.each(Object.keys(FORMS))(
  "Pipelined requests are served one at a time, %s",
  async (form) => {
    const inProgress = await serve(2);
    for (const piece of FORMS[form]!) {
      socket.write(piece);
      await wait(5);
    }
    await expect.poll(() => answers).toBe(COUNT + 1);
    expect(inProgress.most).toBe(1);
  },
);

test.each([[true], [false]])(
  "A request behind a response that closes its connection isn't run, sent before its end: %s",
  async (isBefore) => {
    await serve(100);
    closesConnections = true;
    const closed = new Promise((resolve) => socket.once("close", resolve));
    socket.write(`${HEAD}\r\n`);
    await wait(30);
    if (isBefore) socket.write("GET /behind HTTP/1.1\r\nHost: a\r\n\r\n");
    else {
      await expect.poll(() => answers).toBe(1);
      socket.write("GET /behind HTTP/1.1\r\nHost: a\r\n\r\n");
    }
    await closed;
    expect(answers).toBe(1);
    expect(received).toEqual(["/"]);
  },
);
