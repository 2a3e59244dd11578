import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { RequestQueue, type WaitingRequest } from "./request_queue.ts";

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
    WaitingRequest<string>
  > = {},
): WaitingRequest<string> {
  return { item, flow, use, maxWaitMs, sinceMs: performance.now() };
}

/** A queue that has measured the time between two begins. */
function measuredQueue(): RequestQueue<string> {
  const queue = new RequestQueue<string>();
  for (let begun = 0; begun < 300; begun += 1) {
    queue.add(request("warm-up"));
    vi.advanceTimersByTime(INTERVAL_MS);
    queue.take();
    queue.noteTaken();
  }
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
    (_, index) => queue.add(request(`r${index}`)),
  ).flat();
  expect(queue.size).toBe(Math.floor(MAX_WAIT_MS / queue.intervalMs));
  expect(refused).toHaveLength(80 - queue.size);
});

test("A flood doesn't lengthen the wait of another flow's requests", () => {
  const queue = measuredQueue();
  for (let index = 0; index < 500; index += 1) {
    queue.add(request(`flood${index}`, { flow: "flood" }));
  }
  expect(queue.waitOfNext("steady")).toBeLessThan(3 * INTERVAL_MS);
  expect(queue.add(request("steady", { flow: "steady" }))).toEqual([]);
  const order = takeAll(queue);
  expect(order.indexOf("steady")).toBeLessThanOrEqual(1);
});

test("Within a flow, connections that ask for less go first, and the greediest is refused", () => {
  const queue = measuredQueue();
  const refused: string[] = [];
  for (let index = 0; index < 60; index += 1) {
    const greedy = request(`greedy${index}`, { use: 20 });
    refused.push(...queue.add(greedy).map(({ item }) => item));
  }
  const before = refused.length;
  refused.push(
    ...queue.add(request("modest", { use: 1 })).map(({ item }) => item),
  );
  expect(refused).toHaveLength(before + 1);
  expect(refused).not.toContain("modest");
  expect(takeAll(queue)[0]).toBe("modest");
});

test("A request with little time left is refused sooner than others", () => {
  const queue = measuredQueue();
  for (let index = 0; index < 20; index += 1) queue.add(request(`r${index}`));
  const hurried = request("hurried", { use: 1, maxWaitMs: 10 });
  expect(queue.add(hurried)).toEqual([hurried]);
  expect(queue.add(request("patient", { use: 1 }))).toEqual([]);
});

test("A stall of the process isn't taken for the time that a request needs", () => {
  const queue = measuredQueue();
  queue.add(request("stalled"));
  vi.advanceTimersByTime(5_000);
  queue.take();
  queue.noteTaken();
  expect(queue.intervalMs).toBeLessThan(4 * INTERVAL_MS);
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
