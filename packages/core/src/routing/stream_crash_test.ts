import { err } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { wait } from "../common/wait.ts";
import { asId } from "../common/ids.ts";
import { releasePlace } from "./decode_reservation.ts";
import { RequestClock } from "./request_clock.ts";
import type { EndpointEntry } from "./types.ts";
import {
  entry,
  event,
  EVENT_HEAD,
  FakeEndpoints,
  request,
  route,
} from "./testing/fake_endpoints.ts";
import { createRandom } from "./testing/engine_pool.ts";
import {
  PROMPT,
  type SharedStreams,
  shareEngines,
  startStream,
} from "./testing/streams.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const DECODE_ENGINES = [1, 2, 3, 4, 5, 6, 7, 8].map((index) =>
  entry(`d${index}`, { stage: "decode", address: `10.0.0.${index}:1` })
);
const PREFILL_ENGINE = entry("p1", {
  stage: "prefill",
  address: "10.0.0.9:1",
});

/** Engines that send an event each 100 ms and crash after `crashAfterMs`. */
function startEngines(
  { crashAfterMs, bornAtMs = (entry) => entry.bornAtMs }: {
    crashAfterMs: number;
    bornAtMs?: (entry: EndpointEntry) => number | null;
  },
) {
  const crashed: EndpointEntry[] = [];
  const port = new FakeEndpoints({
    bornAtMs,
    stream: async (endpoint, { listener }) => {
      listener.onHead(EVENT_HEAD);
      for (let id = 1; id * 100 <= crashAfterMs; id += 1) {
        await wait(100);
        listener.onData(event(id));
      }
      crashed.push(endpoint);
      return err({ kind: "lost", detail: "reset" });
    },
  });
  const shared = shareEngines(port, {
    entries: [...DECODE_ENGINES, PREFILL_ENGINE],
  });
  const noteCrashes = () => {
    const { crashes, endpoints } = shared.context;
    for (const endpoint of crashed) {
      crashes.noteEnd(endpoint);
      endpoints.apply({ id: endpoint.id, entry: null });
    }
  };
  return { shared, crashed, port, noteCrashes };
}

test("A request that crashes engines long after its first event is quarantined after three crashes", async () => {
  const { shared, crashed, noteCrashes } = startEngines({
    crashAfterMs: 1_600,
  });
  for (let sends = 0; sends < 6; sends += 1) {
    const { ended } = startStream(shared, { route: { resumable: false } });
    await vi.advanceTimersByTimeAsync(2_000);
    noteCrashes();
    await ended;
  }
  expect(crashed).toHaveLength(3);
});

test("A request under which two engines crashed reaches one endpoint with each further send, not also a prefill one", async () => {
  const { shared, crashed, port, noteCrashes } = startEngines({
    crashAfterMs: 100,
  });
  for (let sends = 0; sends < 3; sends += 1) {
    const { ended } = startStream(shared, { route: { resumable: false } });
    await vi.advanceTimersByTimeAsync(500);
    noteCrashes();
    await ended;
  }
  expect(crashed).toHaveLength(3);
  const prefills = port.log.filter((line) => line.startsWith("prefill"));
  expect(prefills).toHaveLength(2);
});

test("A request that was being answered when engines crashed beside it is not quarantined once it is complete", async () => {
  const { shared, noteCrashes } = startEngines({ crashAfterMs: 1_600 });
  const { ended } = startStream(shared);
  await vi.advanceTimersByTimeAsync(2_000);
  noteCrashes();
  await vi.advanceTimersByTimeAsync(3_000);
  noteCrashes();
  await ended;
  const sound = new FakeEndpoints();
  const again = { ...shared, context: { ...shared.context, port: sound } };
  expect(await startStream(again).ended).toEqual({ kind: "complete" });
  expect(shared.context.crashes.evidence.culprits.size).toBe(0);
});

test("A prompt part whose answers have begun is not quarantined after three crashes", async () => {
  const { shared, crashed, noteCrashes } = startEngines({ crashAfterMs: 500 });
  for (const name of ["x", "y", "z"]) {
    const parts = ["first", name].map((id) => ({ id, tokens: 10 }));
    const { ended } = startStream(shared, {
      route: { resumable: false },
      request: { target: `/a/${name}`, prompt: { ...PROMPT, parts } },
    });
    await vi.advanceTimersByTimeAsync(1_000);
    noteCrashes();
    await ended;
  }
  expect(crashed).toHaveLength(3);
  expect([...shared.context.crashes.evidence.culprits.keys()]).toEqual([]);
});

async function reserve({ queue }: SharedStreams) {
  const reserved = await queue.enqueue({
    attempt: asId("other"),
    clock: new RequestClock(request(), route()),
    load: {
      promptTokens: 10,
      generatedTokens: 0,
      expectedTokens: 10,
      maxTokens: 10,
    },
    prefillMs: 0,
    avoid: new Set(),
    version: null,
    mustBeOnTime: true,
    findRefusal: () => null,
    signal: new AbortController().signal,
  });
  return reserved._unsafeUnwrap();
}

// Guards against restarts under the same id: each reservation there refuted the crash.
test.each([["the start", 2], ["no start", null]])(
  "A request that crashes engines which are back at once is quarantined, where answers state %s",
  async (_name, bornAtMs) => {
    const crashed = new Set<EndpointEntry>();
    const { shared, port } = startEngines({
      crashAfterMs: 1_600,
      bornAtMs: (endpoint) =>
        crashed.has(endpoint) ? bornAtMs : endpoint.bornAtMs,
    });
    // So that streams don't all go to the same engines.
    Object.assign(shared.context, { random: createRandom(1) });
    /**
     * Other streams get places at all engines, also at those that are back, unless these
     * say so themselves.
     */
    const reserveEverywhere = async () => {
      const reservations = await Promise.all(
        Array.from({ length: 60 }, () => reserve(shared)),
      );
      const reserved = reservations.map(({ endpoint }) => endpoint.entry.id);
      expect(new Set(reserved).size).toBe(
        DECODE_ENGINES.length - (bornAtMs === null ? 0 : crashed.size),
      );
      for (const place of reservations) releasePlace(shared.context, place);
    };
    const crashes: EndpointEntry[] = [];
    for (let sends = 0; sends < 20; sends += 1) {
      const before = port.log.length;
      const { ended } = startStream(shared, { route: { resumable: false } });
      await vi.advanceTimersByTimeAsync(2_000);
      const decoded = port.log.slice(before).map((line) => line.split(" "))
        .flatMap(([call, id]) => call === "stream" ? [id] : []);
      for (const endpoint of DECODE_ENGINES) {
        if (!decoded.includes(endpoint.id)) continue;
        crashed.add(endpoint);
        crashes.push(endpoint);
        shared.context.crashes.noteEnd(endpoint);
      }
      await ended;
      // Until then the engines are ejected, because they have failed.
      await vi.advanceTimersByTimeAsync(8_000);
      await reserveEverywhere();
    }
    expect(new Set(crashes).size).toBeGreaterThanOrEqual(3);
    expect(crashes.length).toBeLessThanOrEqual(6);
  },
);
