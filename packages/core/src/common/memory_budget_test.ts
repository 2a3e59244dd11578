import { expect, test, vi } from "vitest";
import { MemoryBudget } from "./memory_budget.ts";

function createMemory() {
  return new MemoryBudget({ limitBytes: 1_000_000 });
}

function waitFor(
  memory: MemoryBudget,
  sizeBytes: number,
  signal?: AbortSignal,
) {
  return memory.wait({
    use: "body",
    sizeBytes,
    signal: signal ?? new AbortController().signal,
  });
}

test("New bodies and requests are refused while answers still find memory", () => {
  const memory = createMemory();
  memory.reserve("body", 400_000);
  expect(memory.reserve("body", 150_000)).toBeNull();
  expect(memory.reserve("request", 500_000)).not.toBeNull();
  expect(memory.reserve("request", 100_000)).toBeNull();
  expect(memory.reserve("answer", 50_000)).not.toBeNull();
  expect(memory.reserve("answer", 50_000)).not.toBeNull();
});

test("Answers that aren't read leave memory for small requests", () => {
  const memory = createMemory();
  while (memory.reserve("answer", 50_000));
  while (memory.reserve("head", 10_000));
  expect(memory.usedBytes()).toBeLessThan(1_000_000);
  expect(memory.reserve("request", 30_000)).not.toBeNull();
});

test.each([["body"], ["answer"]] as const)(
  "Answers that aren't read, beside a body, leave memory for a small %s",
  (use) => {
    const memory = createMemory();
    while (memory.reserve("answer", 100_000));
    expect(memory.reserve(use, 40_000)).not.toBeNull();
    expect(memory.reserve("request", 30_000)).not.toBeNull();
  },
);

test("One large message is always served, and others wait for it in turn", async () => {
  const memory = createMemory();
  const first = memory.reserve("body", 2_000_000)!;
  const order: number[] = [];
  const waits = [1, 2].map(async (index) => {
    const lease = await waitFor(memory, 500_000);
    order.push(index);
    lease!.release();
  });
  expect(memory.reserve("body", 100_000)).toBeNull();
  first.release();
  await Promise.all(waits);
  expect(order).toEqual([1, 2]);
  expect(memory.usedBytes()).toBe(0);
});

test("A message that stops waiting doesn't hold up those behind it", async () => {
  const memory = createMemory();
  memory.reserve("body", 300_000);
  const abort = new AbortController();
  const large = waitFor(memory, 900_000, abort.signal);
  const behind = waitFor(memory, 150_000);
  abort.abort();
  expect(await large).toBeNull();
  expect(await behind).not.toBeNull();
});

test("Only some bodies wait, and the rest is refused at once", async () => {
  const memory = createMemory();
  memory.reserve("body", 600_000);
  for (let index = 0; index < 64; index += 1) void waitFor(memory, 600_000);
  expect(await waitFor(memory, 600_000)).toBeNull();
});

test("The wait for memory follows from how fast it is given back, and who waits before", () => {
  vi.useFakeTimers({ toFake: ["performance"] });
  const memory = createMemory();
  expect(memory.estimateWaitMs("body", 100_000)).toBe(Infinity);
  for (let messages = 0; messages < 100; messages += 1) {
    const lease = memory.reserve("body", 100_000)!;
    vi.advanceTimersByTime(100);
    lease.release();
  }
  const aloneMs = memory.estimateWaitMs("body", 200_000);
  expect(aloneMs).toBeGreaterThan(150);
  expect(aloneMs).toBeLessThan(250);
  memory.reserve("body", 400_000);
  void waitFor(memory, 200_000);
  expect(memory.estimateWaitMs("body", 200_000)).toBeCloseTo(2 * aloneMs, 0);
  vi.useRealTimers();
});

/** A budget of 1 MB in a process that takes a given memory beside it, of 3 MB. */
function createMeasured(beside: { bytes: number }) {
  const memory = createMemory();
  memory.measureProcess({
    limitBytes: 3_000_000,
    readBytes: () => beside.bytes + memory.usedBytes(),
  });
  return memory;
}

// Guards against a process that goes over its limit though what it holds is within the budget.
test("What the process takes beside the budget leaves less for messages", async () => {
  vi.useFakeTimers({ toFake: ["performance", "setTimeout"] });
  const beside = { bytes: 1_000_000 };
  const memory = createMeasured(beside);
  expect(memory.limitBytes).toBe(1_000_000);
  beside.bytes = 2_500_000;
  vi.advanceTimersByTime(20);
  expect(memory.limitBytes).toBe(500_000);
  beside.bytes = 2_600_000;
  vi.advanceTimersByTime(20);
  expect(memory.isShort).toBe(true);
  beside.bytes = 2_500_000;
  memory.reserve("body", 100_000);
  expect(memory.reserve("body", 200_000)).toBeNull();
  const waiting = waitFor(memory, 200_000);
  beside.bytes = 1_500_000;
  await vi.advanceTimersByTimeAsync(1_500);
  expect(await waiting).not.toBeNull();
  vi.useRealTimers();
});

test("Large messages that were taken before the process took more cost no small request", () => {
  vi.useFakeTimers({ toFake: ["performance"] });
  const beside = { bytes: 1_000_000 };
  const memory = createMeasured(beside);
  expect(memory.reserve("body", 450_000)).not.toBeNull();
  expect(memory.reserve("answer", 150_000)).not.toBeNull();
  beside.bytes = 5_000_000;
  vi.advanceTimersByTime(20);
  expect(memory.reserve("request", 100_000)).not.toBeNull();
  expect(memory.reserve("request", 200_000)).toBeNull();
  vi.useRealTimers();
});

test("Small requests and one large message are served however much the process takes", () => {
  const memory = createMeasured({ bytes: 5_000_000 });
  expect(memory.reserve("body", 400_000)).not.toBeNull();
  expect(memory.reserve("body", 100_000)).toBeNull();
  const other = createMeasured({ bytes: 5_000_000 });
  expect(other.reserve("request", 100_000)).not.toBeNull();
  expect(other.reserve("body", 40_000)).not.toBeNull();
});
