import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import { DecodeQueue } from "./decode_queue.ts";
import type { SendFailure } from "./port.ts";
import type { AnswerSink } from "./stream_relay.ts";
import { StreamRun } from "./stream_run.ts";
import {
  context,
  entry,
  event,
  EVENT_HEAD,
  type FakeBehaviour,
  FakeEndpoints,
  POOL,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import type { ReservationId, Route } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENTRIES = [
  entry("d1", { stage: "decode", address: "10.0.0.1:1" }),
  entry("d2", { stage: "decode", address: "10.0.0.2:1" }),
  entry("p1", { stage: "prefill", address: "10.0.0.3:1" }),
  entry("p2", { stage: "prefill", address: "10.0.0.4:1" }),
];

const PROMPT = {
  model: "m",
  promptTokens: 3_000,
  maxOutputTokens: 500,
  expectedOutputTokens: 300,
  parts: [],
};

function start(
  port: FakeEndpoints,
  options: {
    route?: Partial<Route>;
    slack?: number;
    sink?: Partial<AnswerSink>;
  } = {},
) {
  const caller = new AbortController();
  const out: string[] = [];
  const shared = context(port, ENTRIES, options);
  const run = new StreamRun(shared, {
    request: request({ callerTimeoutMs: 14_000, prompt: PROMPT }),
    route: route({
      kind: "stream",
      resumable: true,
      timeoutMs: 14_000,
      targetLatencyMs: 900,
      maxEventGapMs: 300,
      ...options.route,
    }),
    service: SERVICE,
    pool: POOL,
    version: null,
    queue: new DecodeQueue(shared, { service: SERVICE, pool: () => POOL }),
    sink: {
      head: (head) => out.push(`head ${head.status}`),
      write: (bytes) => out.push(new TextDecoder().decode(bytes)) > 0,
      onDrain() {},
      ...options.sink,
    },
    signal: caller.signal,
  });
  return { ended: run.run(), out, caller, shared };
}

function eventsOf(out: readonly string[]): string[] {
  return [...out.join("").matchAll(/id: (\d+)/g)].map(([, id]) => id!);
}

test("A slot is reserved before the prefill, and the stream fetches the KV cache from the prefill endpoint", async () => {
  const port = new FakeEndpoints();
  const { ended, out } = start(port);
  expect(await ended).toEqual({ kind: "complete" });
  expect(port.log[0]).toMatch(/^reserve d/);
  expect(port.log[1]).toMatch(/^prefill p/);
  expect(port.log[2]).toMatch(/^stream d\d from 10\.0\.0\.[34]:1$/);
  expect(eventsOf(out)).toEqual(["1"]);
});

test("Without free decode capacity there is no prefill, and the stream is refused before it is late", async () => {
  const full: SendFailure = { kind: "notExecuted", status: 503 };
  const port = new FakeEndpoints({ reserve: () => err(full) });
  const { ended } = start(port);
  const startedMs = performance.now();
  let refusedAfterMs = Infinity;
  void ended.then(() => (refusedAfterMs = performance.now() - startedMs));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await ended).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "no-capacity" },
  });
  expect(refusedAfterMs).toBeLessThan(900);
  expect(port.log.filter((line) => line.startsWith("prefill"))).toEqual([]);
});

test("A resumable stream continues at another endpoint without repeated or missing events", async () => {
  let sends = 0;
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener, lastEventId }) => {
      sends += 1;
      listener.onHead(EVENT_HEAD);
      if (sends === 1) {
        listener.onData(event(1));
        listener.onData(event(2));
        // Part of the next event, which the endpoint never completes.
        listener.onData(event(3).subarray(0, 5));
        return Promise.resolve(err({ kind: "lost", detail: "reset" }));
      }
      expect(lastEventId).toBe("2");
      listener.onData(event(3));
      return Promise.resolve(ok(undefined));
    },
  });
  const { ended, out } = start(port);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2", "3"]);
  expect(out.filter((part) => part.startsWith("head"))).toHaveLength(1);
  const streamed = port.log.filter((line) => line.startsWith("stream"));
  expect(streamed[0]!.slice(0, 9)).not.toBe(streamed[1]!.slice(0, 9));
});

test("A stream that is not resumable is broken off and not sent again", async () => {
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      listener.onHead(EVENT_HEAD);
      listener.onData(event(1));
      return Promise.resolve(err({ kind: "lost", detail: "reset" }));
    },
  });
  const { ended } = start(port, { route: { resumable: false } });
  expect(await ended).toMatchObject({ kind: "broken" });
  expect(port.log.filter((line) => line.startsWith("stream"))).toHaveLength(1);
});

test("A stream that ends inside an event is not complete", async () => {
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      listener.onHead(EVENT_HEAD);
      listener.onData(event(1).subarray(0, 6));
      return Promise.resolve(ok(undefined));
    },
  });
  const { ended } = start(port, { route: { resumable: false } });
  expect(await ended).toMatchObject({ kind: "broken" });
});

test("A resumable stream leaves an endpoint that stops sending events", async () => {
  let sends = 0;
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      sends += 1;
      listener.onHead(EVENT_HEAD);
      listener.onData(event(sends));
      return sends === 1
        ? new Promise(() => {})
        : Promise.resolve(ok(undefined));
    },
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
});

const SILENCE_MS = 2_000;
const DEADLINE_MS = 14_000;

/** Endpoints of which the first that streams is silent between its two events. */
function createSilentEndpoints(
  behaviour: Partial<FakeBehaviour> = {},
): FakeEndpoints {
  let sends = 0;
  return new FakeEndpoints({
    ...behaviour,
    stream: async (endpoint, send) => {
      sends += 1;
      if (sends > 1 && behaviour.stream) {
        return behaviour.stream(endpoint, send);
      }
      send.listener.onHead(EVENT_HEAD);
      send.listener.onData(event(1));
      await wait(SILENCE_MS);
      send.listener.onData(event(2));
      return ok(undefined);
    },
  });
}

test("A stream is not lost at a silent endpoint when the retry budget is spent", async () => {
  const { ended, out, shared } = start(createSilentEndpoints());
  while (shared.budget.take(SERVICE));
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
});

test("A stream is not lost at a silent endpoint when no other has capacity", async () => {
  let reservations = 0;
  const port = createSilentEndpoints({
    reserve: () => {
      reservations += 1;
      return reservations === 1
        ? ok(asId<ReservationId>("hold"))
        : err({ kind: "notExecuted", status: 503 });
    },
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
});

test("A stream is not lost at a silent endpoint when the endpoint that should continue it fails", async () => {
  const port = createSilentEndpoints({
    stream: () => Promise.resolve(err({ kind: "lost", detail: "reset" })),
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
});

test("A backup for a silent endpoint is given up when the endpoint goes on", async () => {
  let prefills = 0;
  const port = createSilentEndpoints({
    prefill: async () => {
      prefills += 1;
      if (prefills > 1) await wait(1_000);
      return ok({ handle: asId(`kv-${prefills}`), tokens: 1 });
    },
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
  const sent = port.log.filter((line) => line.startsWith("stream"));
  expect(sent).toHaveLength(1);
  expect(port.released).toEqual(["hold"]);
  expect(port.freed).toEqual(["kv-2"]);
});

test("The head comes from the backup if the first endpoint is silent before its own", async () => {
  let sends = 0;
  const port = new FakeEndpoints({
    stream: async (_endpoint, { listener }) => {
      sends += 1;
      if (sends === 1) {
        await wait(DEADLINE_MS);
        return ok(undefined);
      }
      listener.onHead(EVENT_HEAD);
      await wait(200);
      listener.onData(event(1));
      return ok(undefined);
    },
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(out).toEqual(["head 200", "id: 1\ndata: 1\n\n"]);
  expect(sends).toBe(2);
});

test("A request gets a refusal if its endpoint is lost between the head and the first event", async () => {
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      listener.onHead(EVENT_HEAD);
      return Promise.resolve(err({ kind: "lost", detail: "reset" }));
    },
  });
  const { ended, out } = start(port, { route: { resumable: false } });
  expect(await ended).toMatchObject({
    kind: "refused",
    refusal: { kind: "mayHaveRun" },
  });
  expect(out).toEqual([]);
});

test("An endpoint's error is not taken for the rest of a stream", async () => {
  let sends = 0;
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      sends += 1;
      if (sends === 1) {
        listener.onHead(EVENT_HEAD);
        listener.onData(event(1));
        return Promise.resolve(err({ kind: "lost", detail: "reset" }));
      }
      listener.onHead({ status: 500, headers: [] });
      return Promise.resolve(ok(undefined));
    },
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toMatchObject({ kind: "broken" });
  expect(eventsOf(out)).toEqual(["1"]);
});

test("An incomplete body that is no event stream is not followed by the body of another answer", async () => {
  let sends = 0;
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      sends += 1;
      listener.onHead({
        status: 422,
        headers: [["content-type", "application/json"]],
      });
      const body = sends === 1 ? '{"a' : '{"a":1}';
      listener.onData(new TextEncoder().encode(body));
      return Promise.resolve(
        sends === 1 ? err({ kind: "lost", detail: "reset" }) : ok(undefined),
      );
    },
  });
  const { ended } = start(port);
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toMatchObject({ kind: "broken" });
});

test("A stream leaves an endpoint that sends an event without end", async () => {
  let sends = 0;
  const port = new FakeEndpoints({
    stream: async (_endpoint, { listener }) => {
      sends += 1;
      listener.onHead(EVENT_HEAD);
      if (sends > 1) {
        listener.onData(event(2));
        return ok(undefined);
      }
      listener.onData(event(1));
      for (let mebibytes = 0; mebibytes < 3; mebibytes += 1) {
        await wait(10);
        listener.onData(Buffer.alloc(1_048_576, "x"));
      }
      return new Promise(() => {});
    },
  });
  const { ended, out } = start(port);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await ended).toEqual({ kind: "complete" });
  expect(eventsOf(out)).toEqual(["1", "2"]);
});

test("An endpoint is not silent while the caller doesn't read", async () => {
  const port = createSilentEndpoints();
  const drains: (() => void)[] = [];
  const { ended } = start(port, {
    sink: { write: () => false, onDrain: (drain) => void drains.push(drain) },
  });
  await vi.advanceTimersByTimeAsync(SILENCE_MS + 500);
  for (const drain of drains) drain();
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect(await ended).toEqual({ kind: "complete" });
  expect(port.log.filter((line) => line.startsWith("stream"))).toHaveLength(1);
});

/** Decode endpoints that can't fetch the KV cache for the first send. */
function createEndpointsWithExpiredHandle(): FakeEndpoints {
  let sends = 0;
  return new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      sends += 1;
      if (sends === 1) {
        return Promise.resolve(err({ kind: "notExecuted", status: 503 }));
      }
      listener.onHead(EVENT_HEAD);
      return Promise.resolve(ok(undefined));
    },
  });
}

test("If the KV cache can't be fetched, another endpoint does the next prefill", async () => {
  const port = createEndpointsWithExpiredHandle();
  const { ended } = start(port);
  expect(await ended).toEqual({ kind: "complete" });
  const prefills = port.log.filter((line) => line.startsWith("prefill"));
  expect(new Set(prefills).size).toBe(2);
});

test("A retry after an expired handle is charged for its prefill and for its send", async () => {
  const port = createEndpointsWithExpiredHandle();
  const { ended, shared } = start(port);
  const before = shared.budget.left(SERVICE);
  await ended;
  expect(before - shared.budget.left(SERVICE)).toBe(2);
});

test("When the caller disconnects, the send ends and its reservation and KV cache are freed", async () => {
  const port = new FakeEndpoints({ stream: () => new Promise(() => {}) });
  const { ended, caller } = start(port);
  await vi.advanceTimersByTimeAsync(10);
  caller.abort();
  await ended;
  expect(port.released).toEqual(["hold"]);
  expect(port.freed).toEqual(["kv"]);
});

test("If no prefill endpoint is reachable, the decode endpoint does the prefill", async () => {
  const port = new FakeEndpoints({
    prefill: () => Promise.resolve(err({ kind: "notSent" })),
  });
  const { ended } = start(port);
  expect(await ended).toEqual({ kind: "complete" });
  expect(port.log.at(-1)).toMatch(/^stream d\d$/);
});

test("If several prefill endpoints are busy, the decode endpoint doesn't do the prefill, which would delay its streams", async () => {
  const port = new FakeEndpoints({
    prefill: (_endpoint, { firstByteMs }) =>
      new Promise((resolve) =>
        setTimeout(() => resolve(err({ kind: "timeout" })), firstByteMs)
      ),
  });
  const { ended } = start(port);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(await ended).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun" },
  });
  expect(port.log.filter((line) => line.startsWith("stream"))).toEqual([]);
  expect(port.released).toEqual(["hold"]);
});

test("If the only prefill endpoint is busy, the decode endpoint does the prefill", async () => {
  const port = new FakeEndpoints({
    prefill: (_endpoint, { firstByteMs }) =>
      new Promise((resolve) =>
        setTimeout(() => resolve(err({ kind: "timeout" })), firstByteMs)
      ),
  });
  const { ended, shared } = start(port);
  shared.endpoints.apply({ id: ENTRIES[3]!.id, entry: null });
  await vi.advanceTimersByTimeAsync(3_000);
  expect(await ended).toEqual({ kind: "complete" });
  expect(port.log.at(-1)).toMatch(/^stream d\d$/);
});

test("A decode endpoint that starts draining during the prefill doesn't get the stream", async () => {
  const port = new FakeEndpoints({
    prefill: () =>
      new Promise((resolve) =>
        setTimeout(() => resolve(ok({ handle: asId("kv"), tokens: 1 })), 200)
      ),
  });
  const { ended, shared } = start(port);
  await vi.advanceTimersByTimeAsync(100);
  const reserved = port.log.find((line) => line.startsWith("reserve"))!
    .slice("reserve ".length);
  const leaving = ENTRIES.find(({ id }) => id === reserved)!;
  shared.endpoints.apply({
    id: leaving.id,
    entry: { ...leaving, state: "draining" },
  });
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await ended).toEqual({ kind: "complete" });
  const streamed = port.log.filter((line) => line.startsWith("stream"));
  expect(streamed).toHaveLength(1);
  expect(streamed[0]).not.toContain(`stream ${reserved}`);
});
