import { Buffer } from "node:buffer";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import type { SendFailure } from "./port.ts";
import {
  event,
  EVENT_HEAD,
  FakeEndpoints,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import {
  DEADLINE_MS,
  ENGINES,
  eventsOf,
  shareEngines,
  type ShareOptions,
  type StartOptions,
  startStream,
} from "./testing/streams.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function start(
  port: FakeEndpoints,
  options: ShareOptions & StartOptions = {},
) {
  const shared = shareEngines(port, options);
  return { ...startStream(shared, options), shared: shared.context };
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

test("A stream without length or chunks that ends before its first event is not complete", async () => {
  const port = new FakeEndpoints({
    stream: (_endpoint, { listener }) => {
      listener.onHead({ ...EVENT_HEAD, endsWithConnection: true });
      return Promise.resolve(ok(undefined));
    },
  });
  const { ended, out } = start(port, { route: { resumable: false } });
  expect(await ended).toMatchObject({
    kind: "refused",
    refusal: { kind: "mayHaveRun" },
  });
  expect(out).toEqual([]);
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
  shared.endpoints.apply({ id: ENGINES[3]!.id, entry: null });
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
  const leaving = ENGINES.find(({ id }) => id === reserved)!;
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
