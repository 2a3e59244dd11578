import { Buffer } from "node:buffer";
import { once } from "node:events";
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { AddressInfo } from "node:net";
import {
  asId,
  type EndpointId,
  type LogEvent,
  PROCESS_MEMORY,
  SILENT_OBSERVER,
  type StreamEvent,
} from "@teaselvalve/core";
import { afterEach, beforeEach, expect, test } from "vitest";
import { deferred } from "../testing/deferred.ts";
import { freePort } from "../testing/ports.ts";
import { HttpAttachment } from "./attachment.ts";

let server: Server;
let address: string;
let respond: (response: ServerResponse, incoming: IncomingMessage) => void;
let requestCount: number;

beforeEach(async () => {
  requestCount = 0;
  server = createServer((incoming, response) => {
    requestCount += 1;
    respond(response, incoming);
  });
  server.listen(0, "127.0.0.1");
  await once(server, "listening");
  address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
});

afterEach(() => {
  server.closeAllConnections();
  server.close();
});

function attach(options: { timeoutMs?: number; target?: string } = {}) {
  const events: StreamEvent[] = [];
  const ended = deferred();
  const attachment = new HttpAttachment({
    method: "POST",
    path: "/v1/runs",
    body: {},
    timeoutMs: options.timeoutMs ?? 2_000,
    sink(event) {
      events.push(event);
      if (event.kind === "end" || event.kind === "failed") ended.resolve();
    },
  });
  void attachment.run({
    id: asId<EndpointId>("decode-1"),
    address: options.target ?? address,
  });
  return { attachment, events, ended: ended.promise };
}

function send(response: ServerResponse, event: StreamEvent): void {
  response.write(`data: ${JSON.stringify(event)}\n\n`);
}

const TOKENS: StreamEvent = { kind: "tokens", offset: 0, texts: [" ä"] };
const END: StreamEvent = { kind: "end", totalTokens: 1, finish: "stop" };

test("passes on events, but none after the end", async () => {
  respond = (response) => {
    response.writeHead(200);
    for (const event of [TOKENS, END, TOKENS]) send(response, event);
  };
  const { events, ended } = attach();
  await ended;
  expect(events).toEqual([TOKENS, END]);
});

test("a refused connection proves that nothing was sent", async () => {
  const target = `127.0.0.1:${await freePort()}`;
  const { events, ended } = attach({ target });
  await ended;
  expect(events).toEqual([{ kind: "failed", failure: { kind: "notSent" } }]);
});

test("a broken connection fails as lost and is not reopened", async () => {
  respond = (response) => {
    response.writeHead(200);
    send(response, TOKENS);
    setImmediate(() => response.destroy());
  };
  const { events, ended } = attach();
  await ended;
  expect(events.at(-1)).toEqual({ kind: "failed", failure: { kind: "lost" } });
  expect(requestCount).toBe(1);
});

test("a rejection is passed on", async () => {
  const failure = { kind: "rejected", code: "full" } as const;
  respond = (response) => {
    response.writeHead(409);
    response.end(JSON.stringify(failure));
  };
  const { events, ended } = attach();
  await ended;
  expect(events).toEqual([{ kind: "failed", failure }]);
});

test("an event that is not JSON fails the stream as lost", async () => {
  respond = (response) => response.end("data: {\n\n");
  const { events, ended } = attach();
  await ended;
  expect(events).toEqual([{ kind: "failed", failure: { kind: "lost" } }]);
});

test.each(["before the headers", "between events"])(
  "a stall %s times out and closes the connection",
  async (when) => {
    const closed = deferred();
    respond = (response, incoming) => {
      incoming.socket.once("close", closed.resolve);
      if (when === "between events") {
        response.writeHead(200);
        send(response, TOKENS);
      }
    };
    const { events, ended } = attach({ timeoutMs: 100 });
    await ended;
    expect(events.at(-1)).toEqual({
      kind: "failed",
      failure: { kind: "timeout" },
    });
    await closed.promise;
  },
);

test("a detached stream closes its connection and emits no events", async () => {
  const closed = deferred();
  const arrived = deferred();
  respond = (_response, incoming) => {
    incoming.socket.once("close", closed.resolve);
    arrived.resolve();
  };
  const { attachment, events } = attach();
  await arrived.promise;
  attachment.detach();
  await closed.promise;
  expect(events).toEqual([]);
});

test("a pause applies back-pressure to the engine and does not time out", async () => {
  const blocked = deferred();
  let sentBytes = 0;
  const text = "x".repeat(1_048_576);
  respond = (response) => {
    response.writeHead(200);
    const fill = () => {
      while (!response.writableNeedDrain && sentBytes < 64 * 1_048_576) {
        send(response, { kind: "tokens", offset: 0, texts: [text] });
        sentBytes += text.length;
      }
      const socket = response.socket!;
      const before = socket.bytesWritten - socket.writableLength;
      setTimeout(() => {
        const now = socket.bytesWritten - socket.writableLength;
        if (now === before && response.writableNeedDrain) blocked.resolve();
        else fill();
      }, 50);
    };
    fill();
  };
  const { attachment, events } = attach({ timeoutMs: 400 });
  attachment.pause();
  await blocked.promise;
  expect(events).toEqual([]);
  expect(sentBytes).toBeLessThan(16 * 1_048_576);
  attachment.resume();
  await expect.poll(() => events.length).toBeGreaterThan(3);
  attachment.detach();
});

// Nothing of the connection is left that could end the body.
test("a paused stream whose answer has arrived whole gives its memory back when detached", async () => {
  const usedBytes = PROCESS_MEMORY.usedBytes();
  const incomplete = `data: ${"x".repeat(20_000)}`;
  const body = `data: ${JSON.stringify(TOKENS)}\n\n${incomplete}`;
  const received = deferred();
  respond = (response) => {
    response.writeHead(200, { "content-length": Buffer.byteLength(body) + 1 });
    response.write(body);
    setTimeout(() => response.end("x", received.resolve), 50);
  };
  const { attachment, events } = attach();
  await expect.poll(() => events).toEqual([TOKENS]);
  attachment.pause();
  expect(PROCESS_MEMORY.usedBytes()).toBeGreaterThan(usedBytes);
  await received.promise;
  await new Promise((resolve) => setTimeout(resolve, 50));
  attachment.detach();
  await expect.poll(() => PROCESS_MEMORY.usedBytes()).toBe(usedBytes);
});

test.each(
  [
    ["events", [TOKENS], ["tokens", "failed"], "body"],
    ["the end", [END], ["end"], "ended"],
  ] as const,
)(
  "an exception of the sink for %s ends its stream alone, and is logged",
  async (_name, sent, kinds, phase) => {
    respond = (response) => {
      response.writeHead(200);
      for (const event of sent) send(response, event);
    };
    const told: string[] = [];
    const logged: LogEvent[] = [];
    const attachment = new HttpAttachment({
      method: "GET",
      path: "/",
      timeoutMs: 2_000,
      observer: {
        ...SILENT_OBSERVER,
        log: (event) => void logged.push(event),
      },
      sink(event) {
        told.push(event.kind);
        throw new Error("broken sink");
      },
    });
    await attachment.run({ id: asId<EndpointId>("decode-1"), address });
    expect(told).toEqual(kinds);
    expect(logged[0]).toMatchObject({
      event: "connection-fault",
      thrownIn: "sink",
      call: "stream",
      endpoint: "decode-1",
      phase,
    });
  },
);

test("an exception of the sink for a timeout ends its stream alone", async () => {
  respond = () => {};
  const told: string[] = [];
  const attachment = new HttpAttachment({
    method: "GET",
    path: "/",
    timeoutMs: 50,
    sink(event) {
      told.push(event.kind);
      throw new Error("broken sink");
    },
  });
  await attachment.run({ id: asId<EndpointId>("decode-1"), address });
  expect(told).toEqual(["failed"]);
});

test("a stream to an address that can't be read was not sent", async () => {
  const { events, ended } = attach({ target: "no address" });
  await ended;
  expect(events).toEqual([{ kind: "failed", failure: { kind: "notSent" } }]);
});
