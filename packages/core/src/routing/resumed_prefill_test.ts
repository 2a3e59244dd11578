// Guards against resumed streams that spend all their time at prefill engines.
import { err } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import type { AttemptId } from "./types.ts";
import { FakeEndpoints } from "./testing/fake_endpoints.ts";
import { shareEngines, startStream } from "./testing/streams.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Starts a stream while neither of two prefill engines answers. */
async function startBesideSilentPrefills(
  { leftMs, isResumed }: { leftMs: number; isResumed: boolean },
) {
  const port = new FakeEndpoints({
    prefill: async (_endpoint, { wholeMs }) => {
      await wait(wholeMs ?? 0);
      return err({ kind: "timeout" });
    },
  });
  const resumed = { lastEventId: "2", resumes: asId<AttemptId>("first") };
  const { ended, times } = startStream(shareEngines(port), {
    request: { callerTimeoutMs: leftMs, ...(isResumed ? resumed : {}) },
    ...(isResumed ? { version: asId("v1") } : {}),
  });
  await vi.advanceTimersByTimeAsync(leftMs + 1);
  const streams = port.log.filter((line) => line.startsWith("stream"));
  return { outcome: await ended, streams, times };
}

test.each([600, 1_000, 1_500, 3_000])(
  "A resumed stream with %s ms left goes on while no prefill engine answers",
  async (leftMs) => {
    const { outcome, streams, times } = await startBesideSilentPrefills({
      leftMs,
      isResumed: true,
    });
    expect(outcome).toEqual({ kind: "complete" });
    expect(streams).toHaveLength(1);
    expect(times.endedAfterMs).toBeLessThan(0.85 * leftMs);
  },
);

test("A new stream isn't prefilled at a decode engine while the prefill engines are busy", async () => {
  const { streams } = await startBesideSilentPrefills({
    leftMs: 3_000,
    isResumed: false,
  });
  expect(streams).toEqual([]);
});
