// Guards against resumed streams that are refused while their software version restarts.
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { Router } from "./router.ts";
import type { ReservationId } from "./types.ts";
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
  table,
} from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const DEADLINE_MS = 3_000;
const ROUTE = route({
  kind: "stream",
  resumable: true,
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 500,
});

type Kind = "engines" | "plain";
const KINDS: Kind[] = ["engines", "plain"];

function replica(kind: Kind, id: string, version: string) {
  return entry(id, {
    stage: kind === "engines" ? "decode" : null,
    address: `${id}:1`,
    softwareVersion: asId(version),
  });
}

/** A VM that knows a stream of `v2`, whose replicas are b1 and b2. */
function setUp(kind: Kind, behaviour: Partial<FakeBehaviour> = {}) {
  const port = new FakeEndpoints(behaviour);
  const entries = ["a1 v1", "b1 v2", "b2 v2"].map((known) => {
    const [id, version] = known.split(" ");
    return replica(kind, id!, version!);
  });
  const shared = context(port, entries);
  const router = new Router(shared);
  const engines = kind === "engines" ? POOL : null;
  router.setTable(table(1, { routes: [ROUTE], engines }));
  shared.origins.note(asId("first"), { service: SERVICE, version: asId("v2") });
  const gone = (id: string) =>
    shared.endpoints.apply({ id: asId(id), entry: null });
  const resume = () => {
    const startedMs = performance.now();
    const resumed = request({
      callerTimeoutMs: DEADLINE_MS,
      lastEventId: "2",
      resumes: asId("first"),
    });
    return router.handle(resumed, {
      route: ROUTE,
      sink: { head() {}, write: () => true, onDrain() {} },
      signal: new AbortController().signal,
    }).then((outcome) => ({
      outcome,
      tookMs: performance.now() - startedMs,
    }));
  };
  const streams = () => port.log.filter((line) => line.startsWith("stream"));
  return { shared, gone, resume, streams, entries };
}

const MISSING = {
  kind: "refused",
  refusal: { kind: "notRun", reason: "version-unavailable" },
};

for (const kind of KINDS) {
  test(`A resumed stream isn't refused while crashed replicas of its version come back (${kind})`, async () => {
    const { shared, gone, resume, streams } = setUp(kind);
    gone("b1");
    gone("b2");
    const resumed = resume();
    await vi.advanceTimersByTimeAsync(400);
    const back = replica(kind, "b3", "v2");
    shared.endpoints.apply({ id: back.id, entry: back });
    await vi.advanceTimersByTimeAsync(100);
    expect((await resumed).outcome).toEqual({ kind: "complete" });
    expect(streams()).toEqual(["stream b3 after 2"]);
  });

  test(`A resumed stream is refused as not run with half of its time left if no replica of its version comes back (${kind})`, async () => {
    const { gone, resume, streams } = setUp(kind);
    gone("b1");
    gone("b2");
    const resumed = resume();
    await vi.advanceTimersByTimeAsync(DEADLINE_MS);
    const { outcome, tookMs } = await resumed;
    expect(outcome).toMatchObject(MISSING);
    expect(tookMs).toBeGreaterThan(0.4 * DEADLINE_MS);
    expect(tookMs).toBeLessThan(0.52 * DEADLINE_MS);
    expect(streams()).toEqual([]);
  });

  test(`A resumed stream is refused at once if the replicas of its version were drained or crashed long ago (${kind})`, async () => {
    const drained = setUp(kind);
    for (const known of drained.entries.slice(1)) {
      drained.shared.endpoints.apply({
        id: known.id,
        entry: { ...known, state: "draining" },
      });
      drained.gone(known.id);
    }
    const crashed = setUp(kind);
    crashed.gone("b1");
    crashed.gone("b2");
    await vi.advanceTimersByTimeAsync(20_000);
    for (const { resume } of [drained, crashed]) {
      const resumed = resume();
      await vi.advanceTimersByTimeAsync(1);
      const { outcome, tookMs } = await resumed;
      expect(outcome).toMatchObject(MISSING);
      expect(tookMs).toBeLessThan(1);
    }
  });
}

test("A resumed stream is refused at once if the limits of its version end too late for it, whatever others allow", async () => {
  for (const kind of KINDS) {
    const { shared, resume, streams } = setUp(kind);
    for (const id of ["b1", "b2"]) {
      shared.endpoints.get(asId(id))!.noteLimited(performance.now() + 5_000);
    }
    const resumed = resume();
    await vi.advanceTimersByTimeAsync(1);
    const { outcome, tookMs } = await resumed;
    expect(outcome).toMatchObject({
      kind: "refused",
      refusal: { kind: "notRun", reason: "endpoint-limited" },
    });
    expect(tookMs).toBeLessThan(1);
    expect(streams()).toEqual([]);
  }
});

test("A resumed stream isn't refused while listed plain replicas of its version refuse connections and come back", async () => {
  let isBack = false;
  const { resume, streams } = setUp("plain", {
    stream: (_endpoint, { listener }) => {
      if (!isBack) return Promise.resolve(err({ kind: "notSent" }));
      listener.onHead(EVENT_HEAD);
      listener.onData(event(3));
      return Promise.resolve(ok(undefined));
    },
  });
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(700);
  isBack = true;
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toEqual({ kind: "complete" });
  expect(tookMs).toBeLessThan(900);
  expect(streams().every((line) => /^stream b/.test(line))).toBe(true);
});

test("A resumed stream is refused as not run with half of its time left if listed plain replicas stay away", async () => {
  const { resume, streams } = setUp("plain", {
    stream: () => Promise.resolve(err({ kind: "notSent" })),
  });
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "no-endpoint" },
  });
  expect(tookMs).toBeGreaterThan(0.45 * DEADLINE_MS);
  expect(tookMs).toBeLessThan(0.55 * DEADLINE_MS);
  expect(streams().length).toBeLessThanOrEqual(20);
});

test("A resumed stream is refused as not run with half of its time left if listed engines of its version refuse connections", async () => {
  const { resume, streams } = setUp("engines", {
    reserve: ({ softwareVersion }) =>
      softwareVersion === "v2"
        ? err({ kind: "notSent" })
        : ok(asId<ReservationId>("hold")),
  });
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toMatchObject(MISSING);
  expect(tookMs).toBeGreaterThan(0.4 * DEADLINE_MS);
  expect(tookMs).toBeLessThan(0.55 * DEADLINE_MS);
  expect(streams()).toEqual([]);
});

test("A resumed stream isn't refused while listed engines of its version refuse connections and come back", async () => {
  let isBack = false;
  const { resume, streams } = setUp("engines", {
    reserve: () =>
      isBack ? ok(asId<ReservationId>("hold")) : err({ kind: "notSent" }),
  });
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(1_200);
  isBack = true;
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toEqual({ kind: "complete" });
  expect(tookMs).toBeLessThan(1_400);
  expect(streams()).toHaveLength(1);
  expect(streams()[0]).toMatch(/^stream b/);
});

test("A resumed stream waits on for a place at engines of its version that are full", async () => {
  let isFull = true;
  const { resume } = setUp("engines", {
    reserve: () =>
      isFull
        ? err({ kind: "notExecuted", status: 503 })
        : ok(asId<ReservationId>("hold")),
  });
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(2_000);
  isFull = false;
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  expect((await resumed).outcome).toEqual({ kind: "complete" });
});

test("A resumed stream is refused as not run with half of its time left if engines of its version refuse connections and the limits of the others end too late", async () => {
  const { shared, resume } = setUp("engines", {
    reserve: ({ id }) =>
      id === "b1"
        ? err({ kind: "limited", retryAfterMs: 5_000 })
        : err({ kind: "notSent" }),
  });
  const limited = shared.endpoints.get(asId("b1"))!;
  limited.noteLimited(performance.now() + 5_000);
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "endpoint-limited" },
  });
  expect(tookMs).toBeGreaterThan(0.4 * DEADLINE_MS);
  expect(tookMs).toBeLessThan(0.55 * DEADLINE_MS);
});

for (const kind of KINDS) {
  test(`A resumed stream isn't refused for the limits of its version while a crashed replica of it comes back (${kind})`, async () => {
    const { shared, gone, resume, streams } = setUp(kind, {
      reserve: ({ id }) =>
        id === "b2"
          ? err({ kind: "limited", retryAfterMs: 5_000 })
          : ok(asId<ReservationId>("hold")),
    });
    shared.endpoints.get(asId("b2"))!.noteLimited(performance.now() + 5_000);
    gone("b1");
    const resumed = resume();
    await vi.advanceTimersByTimeAsync(400);
    const back = replica(kind, "b3", "v2");
    shared.endpoints.apply({ id: back.id, entry: back });
    await vi.advanceTimersByTimeAsync(100);
    expect((await resumed).outcome).toEqual({ kind: "complete" });
    expect(streams()).toEqual(["stream b3 after 2"]);
  });

  test(`A resumed stream is refused as limited with half of its time left if no crashed replica comes back (${kind})`, async () => {
    const { shared, gone, resume, streams } = setUp(kind, {
      reserve: () => err({ kind: "limited", retryAfterMs: 5_000 }),
    });
    shared.endpoints.get(asId("b2"))!.noteLimited(performance.now() + 5_000);
    gone("b1");
    const resumed = resume();
    await vi.advanceTimersByTimeAsync(DEADLINE_MS);
    const { outcome, tookMs } = await resumed;
    expect(outcome).toMatchObject({
      kind: "refused",
      refusal: { kind: "notRun", reason: "endpoint-limited" },
    });
    expect(tookMs).toBeGreaterThan(0.4 * DEADLINE_MS);
    expect(tookMs).toBeLessThan(0.55 * DEADLINE_MS);
    expect(streams()).toEqual([]);
  });
}

test("A resumed stream tries an engine that failed again while the others of its version are limited", async () => {
  let isBack = false;
  const { shared, resume, streams } = setUp("engines", {
    reserve: ({ id }) => {
      if (id === "b1") return err({ kind: "limited", retryAfterMs: 5_000 });
      return isBack
        ? ok(asId<ReservationId>("hold"))
        : err({ kind: "notSent" });
    },
  });
  const limited = shared.endpoints.get(asId("b1"))!;
  limited.noteLimited(performance.now() + 5_000);
  const resumed = resume();
  await vi.advanceTimersByTimeAsync(700);
  isBack = true;
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toEqual({ kind: "complete" });
  expect(tookMs).toBeLessThan(900);
  expect(streams()).toEqual(["stream b2 after 2"]);
});
