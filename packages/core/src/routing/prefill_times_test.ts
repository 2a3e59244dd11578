import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { PrefillTimes } from "./prefill_times.ts";
import { SERVICE } from "./testing/fake_endpoints.ts";

const SPEED = 33;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test("The estimated speed approaches the real one, despite cached prompts and queueing", () => {
  const times = new PrefillTimes();
  for (let n = 0; n < 300; n += 1) {
    const tokens = 1_000 + (n % 5) * 1_000;
    // One in twenty has its whole prompt in the cache; a third wait in a queue.
    const tookMs = n % 20 === 0 ? 15 : tokens / SPEED + (n % 3 === 0 ? 80 : 0);
    times.note(SERVICE, { tokens, tookMs, completed: true });
  }
  expect(times.tokensPerMs(SERVICE)).toBeGreaterThan(0.7 * SPEED);
  expect(times.tokensPerMs(SERVICE)).toBeLessThan(1.2 * SPEED);
});

test("The expected duration includes the current queueing delay", () => {
  const times = new PrefillTimes();
  const before = times.expectedMs(SERVICE, 3_000);
  for (let n = 0; n < 30; n += 1) {
    times.note(SERVICE, { tokens: 3_000, tookMs: 500, completed: true });
  }
  expect(times.expectedMs(SERVICE, 3_000)).toBeGreaterThan(before + 250);
});

test("Prefills that timed out don't make a VM refuse all streams for good", async () => {
  const times = new PrefillTimes();
  const before = times.expectedMs(SERVICE, 3_000);
  for (let n = 0; n < 100; n += 1) {
    times.note(SERVICE, { tokens: 3_000, tookMs: 1_000, completed: false });
  }
  expect(times.expectedMs(SERVICE, 3_000)).toBeGreaterThan(900);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(times.expectedMs(SERVICE, 3_000)).toBeLessThan(before + 50);
});

// Guards against a VM whose first prefills meet silent engines, and that refuses all streams from then on.
test("Slow prefills don't make a VM refuse all streams for good", async () => {
  const times = new PrefillTimes();
  const before = times.expectedMs(SERVICE, 3_000);
  for (let n = 0; n < 4; n += 1) {
    times.note(SERVICE, { tokens: 3_000, tookMs: 1_000, completed: true });
  }
  expect(times.expectedMs(SERVICE, 3_000)).toBeGreaterThan(900);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(times.expectedMs(SERVICE, 3_000)).toBeLessThan(before + 50);
  times.note(SERVICE, { tokens: 3_000, tookMs: 100, completed: true });
  expect(times.expectedMs(SERVICE, 3_000)).toBeLessThan(before + 50);
});

test("The speed of slow engines is kept while prefills are measured", async () => {
  const times = new PrefillTimes();
  for (let n = 0; n < 30; n += 1) {
    times.note(SERVICE, { tokens: 3_000, tookMs: 600, completed: true });
    await vi.advanceTimersByTimeAsync(200);
  }
  expect(times.expectedMs(SERVICE, 3_000)).toBeGreaterThan(500);
});
