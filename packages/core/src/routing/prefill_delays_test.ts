import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { PrefillDelays } from "./prefill_delays.ts";
import { SERVICE } from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test("The queue of prompts of lower priority doesn't count for urgent ones, and is forgotten", async () => {
  const delays = new PrefillDelays();
  const urgent = { service: SERVICE, urgency: 0 };
  const other = { service: SERVICE, urgency: 2 };
  for (let n = 0; n < 40; n += 1) {
    delays.note(other, 1_500);
    delays.note(urgent, 20);
  }
  expect(delays.currentMs(urgent)).toBeLessThan(25);
  expect(delays.currentMs(other)).toBeGreaterThan(1_400);
  await vi.advanceTimersByTimeAsync(10_000);
  expect(delays.currentMs(other)).toBeLessThan(100);
});
