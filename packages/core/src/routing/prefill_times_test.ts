import { expect, test } from "vitest";
import { PrefillTimes } from "./prefill_times.ts";
import { SERVICE } from "./testing/fake_endpoints.ts";

const SPEED = 33;

test("The reading speed is found, and not taken from prompts that were cached", () => {
  const times = new PrefillTimes();
  for (let n = 0; n < 300; n += 1) {
    const tokens = 1_000 + (n % 5) * 1_000;
    // One in twenty finds all of its prompt in the cache; a third wait in a queue.
    const tookMs = n % 20 === 0 ? 15 : tokens / SPEED + (n % 3 === 0 ? 80 : 0);
    times.note(SERVICE, { tokens, tookMs });
  }
  expect(times.tokensPerMs(SERVICE)).toBeGreaterThan(0.7 * SPEED);
  expect(times.tokensPerMs(SERVICE)).toBeLessThan(1.2 * SPEED);
});

test("Queues of the moment count into the expected time", () => {
  const times = new PrefillTimes();
  const before = times.expectedMs(SERVICE, 3_000);
  for (let n = 0; n < 30; n += 1) {
    times.note(SERVICE, { tokens: 3_000, tookMs: 500 });
  }
  expect(times.expectedMs(SERVICE, 3_000)).toBeGreaterThan(before + 250);
});
