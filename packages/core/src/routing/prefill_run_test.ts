import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { wait } from "../common/wait.ts";
import type { Send } from "./port.ts";
import { PrefillRun } from "./prefill_run.ts";
import { RequestClock } from "./request_clock.ts";
import {
  context,
  entry,
  FakeEndpoints,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";

const TIMEOUT_MS = 3_000;
const PROMPT = {
  model: "m",
  promptTokens: 3_000,
  maxOutputTokens: 80,
  expectedOutputTokens: null,
  parts: [],
};
/** Expected duration of the prompt's prefill before any is measured. */
const UNMEASURED_MS = 100;
const ENTRIES = [
  entry("d", { stage: "decode" }),
  entry("p", { stage: "prefill" }),
];

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Prefills once, at an endpoint that doesn't answer, `afterMs` after the request's arrival. */
async function prefillSilently(afterMs: number, callerTimeoutMs: number) {
  const sends: Send[] = [];
  const port = new FakeEndpoints({
    prefill: async (_endpoint, send) => {
      sends.push(send);
      await wait(send.firstByteMs);
      return err({ kind: "timeout" });
    },
  });
  const shared = context(port, ENTRIES);
  const streamed = request({ callerTimeoutMs, prompt: PROMPT });
  const clock = new RequestClock(streamed, route({ timeoutMs: TIMEOUT_MS }));
  const run = new PrefillRun(shared, {
    request: streamed,
    service: SERVICE,
    clock,
  });
  const [decode, prefill] = ENTRIES.map(({ id }) => shared.endpoints.get(id)!);
  await vi.advanceTimersByTimeAsync(afterMs);
  const ended = run.run(decode!, { signal: new AbortController().signal });
  await vi.advanceTimersByTimeAsync(TIMEOUT_MS);
  expect(await ended).toEqual(ok(null));
  const { prefillTimes } = shared;
  const expectedMs = prefillTimes.expectedMs(SERVICE, PROMPT.promptTokens);
  return { sends, failures: prefill!.failuresInRow, expectedMs };
}

test("A prefill has a limit for its whole answer as well as for the first byte", async () => {
  const { sends, failures } = await prefillSilently(0, TIMEOUT_MS);
  expect(sends).toHaveLength(1);
  expect(sends[0]!.firstByteMs).toBeLessThan(TIMEOUT_MS);
  expect(sends[0]!.wholeMs).toBe(sends[0]!.firstByteMs);
  expect(failures).toBe(1);
});

test.each([
  ["the route's timeout", 2_900, 10_000, 100],
  ["the caller's timeout", 900, 1_000, 100],
])(
  "A prefill does not outlast %s",
  async (_name, afterMs, callerMs, leftMs) => {
    const { sends } = await prefillSilently(afterMs, callerMs);
    expect(sends.map(({ firstByteMs }) => firstByteMs)).toEqual([leftMs]);
    expect(sends.map(({ wholeMs }) => wholeMs)).toEqual([leftMs]);
  },
);

test("A prefill that its request left too little time counts neither as a failure nor as a fast prefill", async () => {
  const { failures, expectedMs } = await prefillSilently(
    TIMEOUT_MS - 10,
    TIMEOUT_MS,
  );
  expect(failures).toBe(0);
  expect(expectedMs).toBe(UNMEASURED_MS);
});

test("A prefill endpoint that doesn't answer leaves half of a request's time to the decode endpoint", async () => {
  const { sends } = await prefillSilently(TIMEOUT_MS - 1_000, TIMEOUT_MS);
  expect(sends.map(({ wholeMs }) => wholeMs)).toEqual([500]);
});
