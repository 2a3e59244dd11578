import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { CallRun } from "./call_run.ts";
import type { SendFailure } from "./port.ts";
import {
  answer,
  context,
  entry,
  FakeEndpoints,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import type { Route } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENTRIES = [entry("a"), entry("b"), entry("c")];

function run(
  port: FakeEndpoints,
  options: { route?: Partial<Route>; slack?: number; share?: number } = {},
) {
  return new CallRun(context(port, ENTRIES, options), {
    request: request(),
    route: route(options.route),
    service: SERVICE,
    signal: new AbortController().signal,
  }).run();
}

/** Fake endpoints that fail the first sends with the given failures, in order. */
function failing(...failures: SendFailure[]): FakeEndpoints {
  let sends = 0;
  return new FakeEndpoints({
    call: () => {
      const failure = failures[sends];
      sends += 1;
      return Promise.resolve(failure ? err(failure) : ok(answer()));
    },
  });
}

const LOST: SendFailure = { kind: "lost", detail: "reset" };

test("A safe call is retried at another endpoint, even if it may have run", async () => {
  for (const failure of [LOST, { kind: "timeout" } as const]) {
    const port = failing(failure);
    expect((await run(port)).isOk()).toBe(true);
    expect(new Set(port.log).size).toBe(2);
  }
});

test("An unsafe call is retried only if it can't have run", async () => {
  const options = { route: { kind: "unsafe", maxAttempts: 2 } as const };
  for (
    const failure of [
      { kind: "notSent" },
      { kind: "notExecuted", status: 503 },
      { kind: "misdirected" },
    ] as const
  ) {
    expect((await run(failing(failure), options)).isOk()).toBe(true);
  }
  for (const failure of [LOST, { kind: "timeout" } as const]) {
    const port = failing(failure);
    const verdict = await run(port, options);
    expect(verdict._unsafeUnwrapErr().kind).toBe("mayHaveRun");
    expect(port.log).toHaveLength(1);
  }
});

test("A call that no endpoint ran is refused as not run", async () => {
  const full: SendFailure = { kind: "notExecuted", status: 503 };
  const verdict = await run(failing(full, full, full, full), {
    route: { kind: "unsafe" },
  });
  expect(verdict._unsafeUnwrapErr()).toMatchObject({ kind: "notRun" });
});

test("A call is not refused as not run if an earlier send may have run it", async () => {
  const full: SendFailure = { kind: "notExecuted", status: 503 };
  const verdict = await run(failing(LOST, full, full, full));
  expect(verdict._unsafeUnwrapErr().kind).toBe("mayHaveRun");
});

test("No more endpoints run a call than the route allows", async () => {
  const port = failing(LOST, LOST, LOST);
  expect((await run(port, { route: { maxAttempts: 2 } })).isErr()).toBe(true);
  expect(port.log).toHaveLength(2);
});

test("Without budget, a call is retried only if its connection was never established", async () => {
  const none = { slack: 0, share: 0 };
  const port = failing(LOST);
  const budget = { ...none };
  const shared = context(port, ENTRIES, budget);
  while (shared.budget.take(SERVICE));
  const options = {
    request: request(),
    route: route(),
    service: SERVICE,
    signal: new AbortController().signal,
  };
  expect((await new CallRun(shared, options).run()).isErr()).toBe(true);
  const unsent = failing({ kind: "notSent" });
  const other = { ...shared, port: unsent };
  expect((await new CallRun(other, options).run()).isOk()).toBe(true);
});

test("A safe call leaves an unresponsive endpoint in time to try another", async () => {
  const waits: number[] = [];
  const port = new FakeEndpoints({
    call: (_endpoint, { firstByteMs }) => {
      waits.push(firstByteMs);
      return new Promise((resolve) =>
        setTimeout(
          () =>
            resolve(
              waits.length === 1 ? err({ kind: "timeout" }) : ok(answer()),
            ),
          Math.min(firstByteMs, 50),
        )
      );
    },
  });
  const verdict = run(port, { route: { targetLatencyMs: 100 } });
  await vi.runAllTimersAsync();
  expect((await verdict).isOk()).toBe(true);
  expect(waits[0]).toBe(200);
  // The last endpoint gets all the remaining time.
  expect(waits[1]).toBeGreaterThan(200);
});

test("A call whose deadline has passed is refused as not run, and not sent", async () => {
  const port = new FakeEndpoints();
  const verdict = await new CallRun(context(port, ENTRIES), {
    request: request({ receivedAtMs: performance.now() - 2_000 }),
    route: route(),
    service: SERVICE,
    signal: new AbortController().signal,
  }).run();
  expect(verdict._unsafeUnwrapErr()).toMatchObject({
    kind: "notRun",
    reason: "deadline-passed",
  });
  expect(port.log).toEqual([]);
});
