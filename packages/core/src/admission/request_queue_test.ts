import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { type NewRequest, RequestQueue } from "./request_queue.ts";

const INTERVAL_MS = 2;
const MAX_WAIT_MS = 100;

beforeEach(() => {
  vi.useFakeTimers({ toFake: ["performance"] });
});

afterEach(() => {
  vi.useRealTimers();
});

function request(
  item: string,
  { flow = "a", use = 0, maxWaitMs = MAX_WAIT_MS }: Partial<
    NewRequest<string>
  > = {},
): NewRequest<string> {
  return { item, flow, use, maxWaitMs };
}

/** Adds a request and returns the items that are refused for it. */
function add(
  queue: RequestQueue<string>,
  ...args: Parameters<typeof request>
): string[] {
  return queue.add(request(...args)).refused.map(({ item }) => item);
}

/** A queue that has measured the time between two begins. */
function measuredQueue(): RequestQueue<string> {
  const queue = new RequestQueue<string>();
  queue.add(request("first"));
  for (let begun = 0; begun < 300; begun += 1) {
    queue.add(request("warm-up"));
    vi.advanceTimersByTime(INTERVAL_MS);
    queue.take();
    queue.noteTaken();
  }
  queue.take();
  expect(queue.intervalMs).toBeCloseTo(INTERVAL_MS, 1);
  return queue;
}

function takeAll(queue: RequestQueue<string>): string[] {
  const items: string[] = [];
  for (let next = queue.take(); next; next = queue.take()) {
    items.push(next.item);
  }
  return items;
}

test("A request that would wait for too long is refused at once", () => {
  const queue = measuredQueue();
  const refused = Array.from(
    { length: 80 },
    (_, index) => add(queue, `r${index}`),
  ).flat();
  expect(queue.size).toBe(Math.floor(MAX_WAIT_MS / queue.intervalMs));
  expect(refused).toHaveLength(80 - queue.size);
});

test("A flood doesn't lengthen the wait of another flow's requests", () => {
  const queue = measuredQueue();
  for (let index = 0; index < 500; index += 1) {
    add(queue, `flood${index}`, { flow: "flood" });
  }
  expect(queue.waitOfNext("steady")).toBeLessThan(3 * INTERVAL_MS);
  expect(add(queue, "steady", { flow: "steady" })).toEqual([]);
  const order = takeAll(queue);
  expect(order.indexOf("steady")).toBeLessThanOrEqual(1);
});

test("A request that waits alone in its flow can be taken before the turns of longer flows", () => {
  const queue = measuredQueue();
  for (const item of ["f1", "f2"]) add(queue, item, { flow: "flood" });
  add(queue, "steady", { flow: "steady" });
  expect(queue.takeSingle()?.item).toBe("steady");
  expect(queue.takeSingle()).toBeNull();
  expect(queue.size).toBe(2);
  expect(takeAll(queue)).toEqual(["f1", "f2"]);
});

test("Within a flow, connections that ask for less go first, and the greediest is refused", () => {
  const queue = measuredQueue();
  const refused: string[] = [];
  for (let index = 0; index < 60; index += 1) {
    refused.push(...add(queue, `greedy${index}`, { use: 20 }));
  }
  const before = refused.length;
  refused.push(...add(queue, "modest", { use: 1 }));
  expect(refused).toHaveLength(before + 1);
  expect(refused).not.toContain("modest");
  expect(takeAll(queue)[0]).toBe("modest");
});

test("A request with little time left is refused sooner than others, also in the middle of its flow", () => {
  const queue = measuredQueue();
  for (let index = 0; index < 20; index += 1) add(queue, `r${index}`);
  add(queue, "greedy", { use: 10 });
  expect(add(queue, "hurried", { use: 1, maxWaitMs: 10 })).toEqual(["hurried"]);
  expect(add(queue, "patient", { use: 1 })).toEqual([]);
});

test("A request that others overtake again and again is refused once it has waited for too long", () => {
  const queue = measuredQueue();
  add(queue, "greedy", { use: 10 });
  const refused: string[] = [];
  for (let waitedMs = 0; waitedMs <= MAX_WAIT_MS; waitedMs += 1) {
    refused.push(...add(queue, "modest", { use: 1 }));
    vi.advanceTimersByTime(1);
    expect(queue.take()?.item).toBe("modest");
  }
  expect(refused).toEqual(["greedy"]);
  expect(queue.size).toBe(0);
});

test("A request that waits for longer than was expected is refused", () => {
  const queue = measuredQueue();
  add(queue, "alone");
  vi.advanceTimersByTime(MAX_WAIT_MS);
  expect(queue.removeLate()).toEqual([]);
  vi.advanceTimersByTime(1);
  expect(queue.removeLate().map(({ item }) => item)).toEqual(["alone"]);
  expect(queue.size).toBe(0);
});

test("Each request is taken or refused once, also while the clock goes on", () => {
  const queue = measuredQueue();
  const now = vi.spyOn(performance, "now");
  let nowMs = performance.now();
  now.mockImplementation(() => nowMs += 0.3);
  let ended = 0;
  for (let index = 0; index < 3_000; index += 1) {
    ended += add(queue, `r${index}`, { maxWaitMs: 5 + index % 7 }).length;
    nowMs += 0.5;
    ended += queue.removeLate().length;
    if (index % 3 === 0 && queue.take()) ended += 1;
  }
  ended += takeAll(queue).length;
  now.mockRestore();
  expect(ended).toBe(3_000);
  expect(queue.size).toBe(0);
});

test("A stall of the process counts neither as a wait nor as the time that a request needs", () => {
  const queue = measuredQueue();
  const { waiting } = queue.add(request("stalled"));
  vi.advanceTimersByTime(5_000);
  queue.noteTurn({ turnMs: 5_000, accepted: false });
  expect(queue.removeLate()).toEqual([]);
  expect(queue.waitedMs(waiting)).toBe(0);
  queue.take();
  queue.noteTaken();
  expect(queue.intervalMs).toBeLessThan(4 * INTERVAL_MS);
});

test("Slow begins of long ago don't refuse a later burst", () => {
  const queue = measuredQueue();
  vi.advanceTimersByTime(5_000);
  const refused = Array.from(
    { length: 100 },
    (_, index) => add(queue, `r${index}`),
  ).flat();
  expect(refused).toEqual([]);
});

test("Turns that accept a burst of connections don't refuse its requests", () => {
  const queue = new RequestQueue<string>();
  const refused: string[] = [];
  for (let burst = 0; burst < 100; burst += 1) {
    refused.push(...add(queue, `r${burst}`), ...add(queue, `s${burst}`));
    vi.advanceTimersByTime(4);
    queue.noteTurn({ turnMs: 4, accepted: true });
    queue.take();
    queue.noteTaken();
  }
  expect(refused).toEqual([]);
});

test("The more is offered than begun, the later refused requests return", () => {
  const queue = new RequestQueue<string>();
  for (let index = 0; index < 100; index += 1) queue.noteBegun();
  const waitMs = 250;
  const calm = queue.retryAfterMs({ waitMs, random: 0.5 });
  for (let index = 0; index < 300; index += 1) queue.noteRefused();
  const overloaded = queue.retryAfterMs({ waitMs, random: 0.5 });
  expect(calm).toBeCloseTo(waitMs);
  expect(overloaded).toBeCloseTo(4 * waitMs);
  expect(queue.retryAfterMs({ waitMs, random: 0 })).toBeLessThan(overloaded);
});
