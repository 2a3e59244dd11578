import { wait } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { UnreadTime } from "./unread_time.ts";

const STALL_MS = 300;

test("A stall counts for what is read right after it, and is forgotten soon", async () => {
  const unread = new UnreadTime();
  unread.start();
  const endsAtMs = performance.now() + STALL_MS;
  while (performance.now() < endsAtMs);
  expect(unread.boundMs()).toBeGreaterThan(STALL_MS / 2);
  await wait(0);
  expect(unread.boundMs()).toBeGreaterThan(STALL_MS / 2);
  await expect.poll(() => unread.boundMs()).toBeLessThan(STALL_MS / 3);
});
