import { Buffer } from "node:buffer";
import { once } from "node:events";
import type { ServerResponse } from "node:http";
import { connect, type Socket } from "node:net";
import { SILENT_OBSERVER } from "@teaselvalve/core";
import type { Route, Router } from "@teaselvalve/core/routing";
import { afterEach, expect, test } from "vitest";
import { createHttpComponent, type HttpComponent } from "../http/server.ts";
import { SettingsSchema } from "../settings/schema.ts";
import { freePort } from "../testing/ports.ts";
import { createGatewayHandler } from "./handler.ts";
import type { EndpointProtocol } from "./protocol.ts";

/** Above what the kernel buffers for a caller that doesn't read. */
const BODY_BYTES = 8 * 1_024 * 1_024;

let component: HttpComponent;
let caller: Socket;
let responses: ServerResponse[];

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
  limits: { slowReaderMs?: number } = {},
): Promise<void> {
  responses = [];
  const handler = createGatewayHandler({
    router: {
      table: null,
      match: () => ({ name: "r", prefix: "/" }) as unknown as Route,
      handle,
    } as unknown as Router,
    protocol: PROTOCOL,
    observer: SILENT_OBSERVER,
    formatRetryAfter: String,
    waitReady: () => Promise.resolve(),
    refusesWork: () => false,
    track: () => () => {},
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

const answerLarge: Router["handle"] = () =>
  Promise.resolve({
    kind: "answered",
    answer: { status: 200, headers: [], body: Buffer.alloc(BODY_BYTES) },
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
