// Guards against streams that go on without end because their endpoint does.
import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type { CounterName } from "../common/observe.ts";
import type { ForwardRequest } from "./links/forwarder.ts";
import type { StreamListener } from "./port.ts";
import { event, EVENT_HEAD, FakeEndpoints } from "./testing/fake_endpoints.ts";
import {
  eventsOf,
  PROMPT,
  shareEngines,
  startStream,
} from "./testing/streams.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const MAX_TOKENS = 71;
const ENDLESS = 20_000;

/** Engines that answer each stream in the same way, and then end it. */
function answering(send: (listener: StreamListener) => void | Promise<void>) {
  return new FakeEndpoints({
    stream: async (_endpoint, { listener }) => {
      listener.onHead(EVENT_HEAD);
      await send(listener);
      return ok(undefined);
    },
  });
}

async function play(
  port: FakeEndpoints,
  { maxOutputTokens = MAX_TOKENS }: { maxOutputTokens?: number } = {},
) {
  const shared = shareEngines(port);
  const counts: string[] = [];
  const logged: unknown[] = [];
  const observer = {
    log: (line: unknown) => void logged.push(line),
    count: (counter: CounterName, reason: string) =>
      void counts.push(`${counter} ${reason}`),
  };
  const stream = startStream(
    { ...shared, context: { ...shared.context, observer } },
    { request: { prompt: { ...PROMPT, maxOutputTokens } } },
  );
  await vi.advanceTimersByTimeAsync(13_000);
  const outcome = await stream.ended;
  const failures = [...shared.context.endpoints.all()].map((endpoint) =>
    endpoint.failuresInRow
  );
  return { outcome, out: stream.out, counts, logged, failures };
}

const ENDLESS_FORMS: Record<string, (index: number) => Buffer> = {
  "events with ids": (index) => event(index),
  "events without ids": () => Buffer.from("data: x\n\n"),
  "events of several lines": (index) =>
    Buffer.from(`event: token\r\ndata: ${index}\r\nid: ${index}\r\n\r\n`),
  "large comments": () => Buffer.from(`:${"x".repeat(10_000)}\n\n`),
  "empty events of 2,000 bytes": () => Buffer.from("\n\n".repeat(1_000)),
};

test.each(Object.entries(ENDLESS_FORMS))(
  "A stream of %s without end is cut, told as incomplete and not sent again, and its endpoint fails",
  async (_form, format) => {
    const port = answering((listener) => {
      for (let index = 1; index <= ENDLESS; index += 1) {
        listener.onData(format(index));
      }
    });
    const { outcome, out, counts, logged, failures } = await play(port);
    expect(outcome).toMatchObject({ kind: "broken" });
    expect(eventsOf(out).length).toBeLessThan(1_000);
    expect(out.join("").length).toBeLessThan(8_000_000);
    expect(port.log.filter((line) => line.startsWith("stream"))).toHaveLength(
      1,
    );
    expect(counts.filter((line) => line.startsWith("stream_overruns")))
      .toHaveLength(1);
    expect(logged).toContainEqual(
      expect.objectContaining({
        event: "stream-sent",
        outcome: "lost",
        detail: expect.stringContaining("more"),
      }),
    );
    expect(Math.max(...failures)).toBe(1);
  },
);

test("No event behind the last that the request can have is passed on, also of one piece", async () => {
  const events = Array.from({ length: ENDLESS }, (_, index) => event(index));
  const port = answering((listener) =>
    void listener.onData(Buffer.concat(events))
  );
  const { outcome, out } = await play(port);
  expect(outcome).toMatchObject({ kind: "broken" });
  expect(eventsOf(out).length).toBeLessThan(1_000);
});

const SOUND_FORMS: Record<string, () => Buffer[]> = {
  "an event for each token": () =>
    Array.from({ length: MAX_TOKENS }, (_, index) => event(index + 1)),
  "events of several tokens": () => [event(1), event(2)],
  "an event of half a megabyte": () => [
    Buffer.from(`id: 1\ndata: ${"x".repeat(500_000)}\n\n`),
  ],
  "a comment before each event, and events around the tokens": () => [
    Buffer.from("event: start\ndata: {}\n\n"),
    ...Array.from({ length: MAX_TOKENS }, (_, index) => [
      Buffer.from(": keep-alive\n\n"),
      Buffer.from(`x-weight-versions: 2\nid: ${index}\ndata: x\n\n`),
    ]).flat(),
    Buffer.from("data: [DONE]\n\n"),
  ],
  "two events for each token": () =>
    Array.from({ length: 2 * MAX_TOKENS }, (_, index) => event(index + 1)),
};

test.each(Object.entries(SOUND_FORMS))(
  "A sound stream with %s is passed on whole",
  async (_form, create) => {
    const parts = create();
    const port = answering((listener) => {
      for (const part of parts) listener.onData(part);
    });
    const { outcome, out, failures } = await play(port);
    expect(outcome).toEqual({ kind: "complete" });
    expect(out.slice(1).join("")).toBe(Buffer.concat(parts).toString());
    expect(Math.max(...failures)).toBe(0);
  },
);

test("Events that say only that a slow stream goes on don't end it", async () => {
  const port = answering(async (listener) => {
    for (let index = 0; index < 120; index += 1) {
      listener.onData(Buffer.from("event: ping\ndata: {}\n\n"));
      await new Promise((resolve) => setTimeout(resolve, 100));
    }
    listener.onData(event(1));
  });
  const { outcome } = await play(port, { maxOutputTokens: 11 });
  expect(outcome).toEqual({ kind: "complete" });
});

test("A stream whose request names no number of tokens may have any number of events", async () => {
  const port = answering((listener) => {
    for (let index = 1; index <= ENDLESS; index += 1) {
      listener.onData(event(index));
    }
  });
  const { outcome, out } = await play(port, { maxOutputTokens: 0 });
  expect(outcome).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toHaveLength(ENDLESS);
});

test("A stream whose request names no number of tokens is cut at a bound of bytes", async () => {
  const large = Buffer.from(`id: 1\ndata: ${"x".repeat(500_000)}\n\n`);
  let sentBytes = 0;
  let deliveredBytes = 0;
  const port = answering((listener) => {
    for (; sentBytes < 200_000_000; sentBytes += large.length) {
      listener.onData(large);
    }
  });
  const shared = shareEngines(port);
  const { ended } = startStream(shared, {
    request: { prompt: null },
    sink: { write: ({ length }) => (deliveredBytes += length) > 0 },
  });
  await vi.advanceTimersByTimeAsync(10);
  expect(await ended).toMatchObject({ kind: "broken" });
  expect(deliveredBytes).toBeLessThan(100_000_000);
});

test("A stream without end that another VM passes on is cut too", async () => {
  const shared = shareEngines(new FakeEndpoints());
  let delivered = 0;
  const forwarding = {
    isLost: () => true,
    settled: () => Promise.resolve(),
    send: ({ listener, onStream }: ForwardRequest) => {
      let isAborted = false;
      onStream?.({
        ended: new Promise(() => {}),
        resume() {},
        abort: () => void (isAborted = true),
      });
      listener.onHead(EVENT_HEAD);
      while (!isAborted && delivered < ENDLESS) {
        delivered += 1;
        listener.onData(event(delivered));
      }
      return Promise.resolve(err({ kind: "aborted" } as const));
    },
  };
  Object.assign(shared.context, { forwarding });
  const { ended, out } = startStream(
    shared,
    { request: { prompt: { ...PROMPT, maxOutputTokens: MAX_TOKENS } } },
  );
  await vi.advanceTimersByTimeAsync(13_000);
  expect(await ended).toMatchObject({ kind: "broken" });
  expect(eventsOf(out).length).toBeLessThan(1_000);
  expect(delivered).toBeLessThan(1_000);
});

test("A stream that the VM it was sent on to cut as too long isn't continued, and is told as incomplete", async () => {
  const shared = shareEngines(new FakeEndpoints());
  let sends = 0;
  const forwarding = {
    isLost: () => true,
    settled: () => Promise.resolve(),
    send: ({ listener, onStream }: ForwardRequest) => {
      sends += 1;
      onStream?.({ ended: new Promise(() => {}), resume() {}, abort() {} });
      listener.onHead(EVENT_HEAD);
      const count = sends === 1 ? 2 * MAX_TOKENS + 64 : 0;
      for (let index = 1; index <= count; index += 1) {
        listener.onData(event(index));
      }
      return Promise.resolve(
        count > 0
          ? err({ kind: "lost", detail: "other side closed" } as const)
          : ok(undefined),
      );
    },
  };
  Object.assign(shared.context, { forwarding });
  const { ended } = startStream(
    shared,
    { request: { prompt: { ...PROMPT, maxOutputTokens: MAX_TOKENS } } },
  );
  await vi.advanceTimersByTimeAsync(13_000);
  expect(await ended).toMatchObject({ kind: "broken" });
  expect(sends).toBe(1);
});
