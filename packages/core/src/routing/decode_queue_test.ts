import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { DecodeQueue, type DecodeRequest } from "./decode_queue.ts";
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

/** Engines with a few slots each, which streams hold for a while. */
class Slots {
  readonly taken = new Map(ENGINES.map(({ id }) => [id, 0]));
  most = 0;
  asked = 0;

  reserve({ id }: EndpointEntry) {
    this.asked += 1;
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
  const port = new FakeEndpoints({ reserve: (one) => slots.reserve(one) });
  const shared = context(port, ENGINES);
  const queue = new DecodeQueue(shared, { service: SERVICE, pool: () => POOL });
  return { slots, queue };
}

function demand(options: Partial<DecodeRequest> = {}): DecodeRequest {
  const clock = new RequestClock(
    request({ callerTimeoutMs: 14_000 }),
    route({ targetLatencyMs: TARGET_MS, timeoutMs: 14_000 }),
  );
  return {
    attempt: asId("a"),
    clock,
    tokens: 1_000,
    prefillMs: 100,
    avoid: new Set(),
    mustBeOnTime: true,
    signal: new AbortController().signal,
    ...options,
  };
}

test("Under twice the load that fits, slots stay taken, and whoever is not served is refused in time", async () => {
  const { slots, queue } = setUp();
  let served = 0;
  const refusedAfterMs: number[] = [];
  const retryAfterMs: number[] = [];
  // Six slots of 400 ms serve 15 streams a second; 30 a second come for four seconds.
  for (let n = 0; n < 120; n += 1) {
    const one = demand();
    const cameAtMs = performance.now();
    void queue.enqueue(one).then((result) => {
      if (result.isOk()) {
        served += 1;
        expect(one.clock.targetLeftMs()).toBeGreaterThanOrEqual(100);
        return;
      }
      refusedAfterMs.push(performance.now() - cameAtMs);
      retryAfterMs.push(result.error.retryAfterMs);
    });
    await vi.advanceTimersByTimeAsync(1_000 / 30);
  }
  await vi.advanceTimersByTimeAsync(2_000);
  expect(served + refusedAfterMs.length).toBe(120);
  expect(slots.most).toBe(SLOTS);
  // Four seconds at full use are 60 streams, and what waits at the end is served too.
  expect(served).toBeGreaterThanOrEqual(0.9 * 60);
  expect(Math.max(...refusedAfterMs)).toBeLessThan(TARGET_MS);
  expect(Math.min(...retryAfterMs)).toBeGreaterThanOrEqual(1_000);
});

test("The stream whose target ends first is served first, one that goes on before all", async () => {
  const { queue } = setUp();
  const order: string[] = [];
  for (let n = 0; n < 6; n += 1) void queue.enqueue(demand());
  await vi.advanceTimersByTimeAsync(50);
  const late = demand();
  await vi.advanceTimersByTimeAsync(50);
  void queue.enqueue(demand()).then(() => order.push("new"));
  void queue.enqueue(late).then(() => order.push("older"));
  await vi.advanceTimersByTimeAsync(1_000);
  expect(order).toEqual(["older", "new"]);
});

test("A stream that waits for room asks one engine a round, and has the place that comes free", async () => {
  const { slots, queue } = setUp();
  for (let n = 0; n < 2 * SLOTS; n += 1) void queue.enqueue(demand());
  await vi.advanceTimersByTimeAsync(10);
  slots.asked = 0;
  const waiting = queue.enqueue(demand());
  await vi.advanceTimersByTimeAsync(STREAM_MS / 2);
  const rounds = Math.ceil(STREAM_MS / 2 / 40);
  // Its first round asks all, as it knows of none that is full.
  expect(slots.asked).toBeLessThanOrEqual(ENGINES.length + rounds);
  await vi.advanceTimersByTimeAsync(STREAM_MS / 2 + 40);
  expect((await waiting).isOk()).toBe(true);
});

test("A caller that leaves is taken out of the queue", async () => {
  const { queue } = setUp();
  for (let n = 0; n < 6; n += 1) void queue.enqueue(demand());
  const left = new AbortController();
  const waiting = queue.enqueue(demand({ signal: left.signal }));
  await vi.advanceTimersByTimeAsync(50);
  left.abort();
  await vi.advanceTimersByTimeAsync(100);
  expect((await waiting)._unsafeUnwrapErr().reason).toBe("cancelled");
  expect(queue.length).toBe(0);
});
