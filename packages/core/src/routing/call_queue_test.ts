import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { wait } from "../common/wait.ts";
import { CallQueue } from "./call_queue.ts";
import { CallRun } from "./call_run.ts";
import {
  answer,
  context,
  entry,
  FakeEndpoints,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const WORK_MS = 20;
const SLOTS = 2;
const DEADLINE_MS = 1_000;
const { signal } = new AbortController();

test("Turns are given by priority, then by latest start", async () => {
  const queue = new CallQueue();
  const order: string[] = [];
  const add = (name: string, priority: number, latestMs: number) =>
    void queue.wait({ priority, latestMs, signal }).then((hasTurn) =>
      order.push(`${name} ${hasTurn}`)
    );
  const nowMs = performance.now();
  add("low", 2, nowMs + 400);
  add("late", 1, nowMs + 500);
  add("early", 1, nowMs + 400);
  add("high", 0, nowMs + 900);
  await vi.advanceTimersByTimeAsync(250);
  expect(order).toEqual(["high true", "early true", "late true", "low true"]);
});

test("A call is refused at once if its turn would come too late, and when its time is over", async () => {
  const queue = new CallQueue();
  const latestMs = performance.now() + 35;
  const add = (priority: number) => queue.wait({ priority, latestMs, signal });
  const low = add(2);
  const others = [add(1), add(1)];
  expect(await add(2)).toBe(false);
  expect(queue.length).toBe(3);
  queue.noteFree();
  await vi.advanceTimersByTimeAsync(40);
  expect(await Promise.all([low, ...others])).toEqual([false, true, false]);
  expect(queue.length).toBe(0);
});

test("A call whose caller leaves gives up its place", async () => {
  const queue = new CallQueue();
  const caller = new AbortController();
  const latestMs = performance.now() + 500;
  const left = queue.wait({ priority: 0, latestMs, signal: caller.signal });
  const other = queue.wait({ priority: 1, latestMs, signal });
  caller.abort();
  expect(await left).toBe(false);
  await vi.advanceTimersByTimeAsync(60);
  expect(await other).toBe(true);
});

/** Plays calls to two endpoints at twice what they can serve, for half a second. */
async function play(priorityOf: (call: number) => number) {
  const taken = new Map<string, number>();
  const port = new FakeEndpoints({
    call: async ({ id }) => {
      const inUse = taken.get(id) ?? 0;
      if (inUse >= SLOTS) return err({ kind: "notExecuted", status: 503 });
      taken.set(id, inUse + 1);
      await wait(WORK_MS);
      taken.set(id, taken.get(id)! - 1);
      return ok(answer());
    },
  });
  const shared = context(port, [entry("a"), entry("b")]);
  const served = new Map<number, number>();
  let calls = 0;
  const start = async (priority: number) => {
    const verdict = await new CallRun(shared, {
      request: request({ callerTimeoutMs: DEADLINE_MS, priority }),
      route: route({ kind: "unsafe", timeoutMs: DEADLINE_MS }),
      service: SERVICE,
      signal: new AbortController().signal,
    }).run();
    if (verdict.isErr()) return;
    served.set(priority, (served.get(priority) ?? 0) + 1);
  };
  // Four slots of 20 ms serve 200 calls a second; 400 a second arrive.
  for (; calls < 200; calls += 1) {
    void start(priorityOf(calls));
    await vi.advanceTimersByTimeAsync(2.5);
  }
  await vi.advanceTimersByTimeAsync(2 * DEADLINE_MS);
  const share = (priority: number) => (served.get(priority) ?? 0) / (calls / 2);
  return { high: share(0), low: share(2) };
}

test.each([["first", 0], ["second", 1]])(
  "At twice what endpoints can serve, calls of high priority are served, if every %s call is one",
  async (_name, parity) => {
    const { high, low } = await play((call) => call % 2 === parity ? 0 : 2);
    expect(high).toBeGreaterThan(0.95);
    expect(low).toBeGreaterThan(0.9);
  },
);
