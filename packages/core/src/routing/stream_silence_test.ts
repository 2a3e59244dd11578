import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import {
  event,
  EVENT_HEAD,
  type FakeBehaviour,
  FakeEndpoints,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import {
  DEADLINE_MS,
  eventsOf,
  shareEngines,
  type ShareOptions,
  type StartOptions,
  startStream,
} from "./testing/streams.ts";
import type { ReservationId } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function start(
  port: FakeEndpoints,
  options: ShareOptions & StartOptions = {},
) {
  const shared = shareEngines(port, options);
  return { ...startStream(shared, options), shared: shared.context };
}

const SILENCE_MS = 2_000;

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
