// Guards against waiting streams that ask the homes of all shards each time, so that the
// calls to each home grow with the number of shards.
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../../common/ids.ts";
import type { AttemptId } from "../types.ts";
import { JoinedQueues } from "./joined_queues.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const FIRST = asId<AttemptId>("first");
const SECOND = asId<AttemptId>("second");

test("A stream asks the home whose queue it joined alone for a quarter of a second", async () => {
  const joined = new JoinedQueues();
  expect(joined.current(FIRST)).toBeUndefined();
  joined.note(FIRST, "shard-1");
  await vi.advanceTimersByTimeAsync(240);
  expect(joined.current(FIRST)).toBe("shard-1");
  expect(joined.current(SECOND)).toBeUndefined();
  await vi.advanceTimersByTimeAsync(10);
  expect(joined.current(FIRST)).toBeUndefined();
});

test("A stream that joins another queue asks that home from then on", async () => {
  const joined = new JoinedQueues();
  joined.note(FIRST, "shard-1");
  joined.note(SECOND, "shard-1");
  await vi.advanceTimersByTimeAsync(200);
  joined.note(FIRST, "shard-2");
  await vi.advanceTimersByTimeAsync(100);
  expect(joined.current(FIRST)).toBe("shard-2");
  expect(joined.current(SECOND)).toBeUndefined();
});
