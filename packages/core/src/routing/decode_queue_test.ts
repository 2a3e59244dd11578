import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import { DecodeQueue } from "./decode_queue.ts";
import type { DecodeRequest } from "./decode_reservation.ts";
import { RequestClock } from "./request_clock.ts";
import {
  context,
  entry,
  FakeEndpoints,
  POOL,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import type { EndpointEntry } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENGINES = [
  entry("d", { stage: "decode" }),
  entry("e", { stage: "decode" }),
];
const SLOTS = 3;
const STREAM_MS = 400;
const TARGET_MS = 900;

/** Engines with a few slots each; a stream holds its slot for `STREAM_MS`. */
class Slots {
  readonly taken = new Map(ENGINES.map(({ id }) => [id, 0]));
  most = 0;
  attempts = 0;

  reserve({ id }: EndpointEntry) {
    this.attempts += 1;
    const taken = this.taken.get(id)!;
    if (taken >= SLOTS) {
      return err({ kind: "notExecuted", status: 503 } as const);
    }
    this.taken.set(id, taken + 1);
    this.most = Math.max(this.most, taken + 1);
    setTimeout(() => this.taken.set(id, this.taken.get(id)! - 1), STREAM_MS);
    return ok(asId<never>("hold"));
  }
}

function setUp() {
  const slots = new Slots();
  const port = new FakeEndpoints({
    reserve: (endpoint) => slots.reserve(endpoint),
  });
  const shared = context(port, ENGINES);
  const queue = new DecodeQueue(shared, { service: SERVICE, pool: () => POOL });
  return { slots, queue };
}

function decodeRequest(options: Partial<DecodeRequest> = {}): DecodeRequest {
  const clock = new RequestClock(
    request({ callerTimeoutMs: 14_000 }),
    route({ targetLatencyMs: TARGET_MS, timeoutMs: 14_000 }),
  );
  return {
    attempt: asId("a"),
    clock,
    load: {
      promptTokens: 900,
      generatedTokens: 0,
      expectedTokens: 50,
      maxTokens: 100,
    },
    prefillMs: 100,
    avoid: new Set(),
    version: null,
    mustBeOnTime: true,
    findRefusal: () => null,
    signal: new AbortController().signal,
    ...options,
  };
}

test("At twice the capacity, slots stay in use and streams that can't be served are refused in time", async () => {
  const { slots, queue } = setUp();
  let served = 0;
  const refusedAfterMs: number[] = [];
  const retryAfterMs: number[] = [];
  // Six slots of 400 ms serve 15 streams a second; 30 a second arrive for four seconds.
  for (let n = 0; n < 120; n += 1) {
    const stream = decodeRequest();
    const arrivedAtMs = performance.now();
    void queue.enqueue(stream).then((result) => {
      if (result.isOk()) {
        served += 1;
        expect(stream.clock.targetLeftMs()).toBeGreaterThanOrEqual(100);
        return;
      }
      refusedAfterMs.push(performance.now() - arrivedAtMs);
      retryAfterMs.push(result.error.retryAfterMs);
    });
    await vi.advanceTimersByTimeAsync(1_000 / 30);
  }
  await vi.advanceTimersByTimeAsync(2_000);
  expect(served + refusedAfterMs.length).toBe(120);
  expect(slots.most).toBe(SLOTS);
  // Four seconds at full use are 60 streams; those waiting at the end are served too.
  expect(served).toBeGreaterThanOrEqual(0.9 * 60);
  expect(Math.max(...refusedAfterMs)).toBeLessThan(TARGET_MS);
  expect(Math.min(...retryAfterMs)).toBeGreaterThanOrEqual(1_000);
});

test("The stream with the earliest target is served first, even if it was enqueued later", async () => {
  const { queue } = setUp();
  const order: string[] = [];
  for (let n = 0; n < 6; n += 1) void queue.enqueue(decodeRequest());
  await vi.advanceTimersByTimeAsync(50);
  const older = decodeRequest();
  await vi.advanceTimersByTimeAsync(50);
  void queue.enqueue(decodeRequest()).then(() => order.push("new"));
  void queue.enqueue(older).then(() => order.push("older"));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(order).toEqual(["older", "new"]);
});

test("A waiting stream tries one engine a round, and gets the slot that is freed", async () => {
  const { slots, queue } = setUp();
  for (let n = 0; n < 2 * SLOTS; n += 1) void queue.enqueue(decodeRequest());
  await vi.advanceTimersByTimeAsync(10);
  slots.attempts = 0;
  const waiting = queue.enqueue(decodeRequest());
  await vi.advanceTimersByTimeAsync(STREAM_MS / 2);
  const rounds = Math.ceil(STREAM_MS / 2 / 40);
  // The first round tries all engines, since none is known to be full yet.
  expect(slots.attempts).toBeLessThanOrEqual(ENGINES.length + rounds);
  await vi.advanceTimersByTimeAsync(STREAM_MS / 2 + 40);
  expect((await waiting).isOk()).toBe(true);
});

test("The stream of a caller that disconnects is removed from the queue", async () => {
  const { queue } = setUp();
  for (let n = 0; n < 6; n += 1) void queue.enqueue(decodeRequest());
  const caller = new AbortController();
  const waiting = queue.enqueue(decodeRequest({ signal: caller.signal }));
  await vi.advanceTimersByTimeAsync(50);
  caller.abort();
  await vi.advanceTimersByTimeAsync(100);
  expect((await waiting)._unsafeUnwrapErr().reason).toBe("cancelled");
  expect(queue.length).toBe(0);
});

test("A stream that avoids engines doesn't hold up those that may use them", async () => {
  const { queue } = setUp();
  const avoid = new Set(ENGINES.map(({ id }) => id));
  const continued = queue.enqueue(
    decodeRequest({ avoid, mustBeOnTime: false }),
  );
  const placed: string[] = [];
  void continued.then(() => placed.push("continued"));
  void queue.enqueue(decodeRequest()).then((result) => {
    if (result.isOk()) placed.push("started");
  });
  await vi.advanceTimersByTimeAsync(100);
  expect(placed).toEqual(["started"]);
});

test("A waiting stream is refused in time, and when its caller leaves, while an engine doesn't answer", async () => {
  const port = new FakeEndpoints();
  port.reserve = async () => {
    await wait(10_000);
    return err({ kind: "timeout" });
  };
  const shared = context(port, ENGINES);
  const queue = new DecodeQueue(shared, { service: SERVICE, pool: () => POOL });
  const caller = new AbortController();
  const reasons: string[] = [];
  for (const signal of [new AbortController().signal, caller.signal]) {
    void queue.enqueue(decodeRequest({ signal })).then((result) =>
      reasons.push(result._unsafeUnwrapErr().reason)
    );
  }
  await vi.advanceTimersByTimeAsync(100);
  caller.abort();
  await vi.advanceTimersByTimeAsync(1);
  expect(reasons).toEqual(["cancelled"]);
  await vi.advanceTimersByTimeAsync(TARGET_MS);
  expect(reasons).toEqual(["cancelled", "no-capacity"]);
});
