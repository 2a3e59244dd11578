import { err, ok, type Result } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
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

test.each([0, 1])(
  "An exception within send %i of a call ends this call alone, and its other sends",
  async (broken) => {
    let sends = 0;
    const aborted: boolean[] = [];
    const port = new FakeEndpoints({
      call: (_entry, { signal }) => {
        const send = sends++;
        if (send === broken) return Promise.reject(new Error("broken port"));
        signal.addEventListener("abort", () => void aborted.push(true));
        return new Promise(() => {});
      },
    });
    const ended = expect(run(port)).rejects.toThrow("broken port");
    await vi.advanceTimersByTimeAsync(30_000);
    await ended;
    expect(aborted).toHaveLength(broken);
  },
);

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

const SILENCE_MS = 700;

/** Fake endpoints of which the first is silent, and the others answer with the given results. */
function silentFirst(...others: (typeof LOST | "ok")[]): FakeEndpoints {
  let sends = 0;
  return new FakeEndpoints({
    call: async (_endpoint, { signal, firstByteMs }) => {
      const other = others[sends - 1];
      sends += 1;
      if (other) return other === "ok" ? ok(answer()) : err(other);
      return await Promise.race([
        wait(SILENCE_MS).then(() => ok(answer(200, "late"))),
        wait(firstByteMs).then(() => err({ kind: "timeout" } as const)),
        new Promise<Result<never, SendFailure>>((resolve) =>
          signal.addEventListener(
            "abort",
            () => resolve(err({ kind: "aborted" })),
          )
        ),
      ]);
    },
  });
}

test("A safe call that an endpoint doesn't answer is sent to another in time", async () => {
  const limitsMs: number[] = [];
  const port = silentFirst("ok");
  const call = port.call.bind(port);
  port.call = (endpoint, sent) => {
    limitsMs.push(sent.firstByteMs);
    return call(endpoint, sent);
  };
  const verdict = run(port, {
    route: { targetLatencyMs: 100, timeoutMs: 1_000 },
  });
  await vi.advanceTimersByTimeAsync(199);
  expect(port.log).toHaveLength(1);
  await vi.advanceTimersByTimeAsync(2);
  expect(port.log).toHaveLength(2);
  expect(new TextDecoder().decode((await verdict)._unsafeUnwrap().body))
    .toBe("ok");
  // Neither endpoint is given up before the request times out.
  expect(limitsMs[0]).toBe(1_000);
  expect(limitsMs[1]).toBeGreaterThan(790);
});

test("A safe call is not refused at a silent endpoint when the retry budget is spent", async () => {
  const port = silentFirst("ok");
  const shared = context(port, ENTRIES, { slack: 0, share: 0 });
  while (shared.budget.take(SERVICE));
  const verdict = new CallRun(shared, {
    request: request(),
    route: route({ targetLatencyMs: 100 }),
    service: SERVICE,
    signal: new AbortController().signal,
  }).run();
  await vi.advanceTimersByTimeAsync(SILENCE_MS);
  expect(new TextDecoder().decode((await verdict)._unsafeUnwrap().body))
    .toBe("late");
  expect(port.log).toHaveLength(1);
});

test("A safe call is not refused at a silent endpoint when the other one fails", async () => {
  const port = silentFirst(LOST);
  const verdict = run(port, {
    route: { targetLatencyMs: 100, maxAttempts: 2 },
  });
  await vi.advanceTimersByTimeAsync(SILENCE_MS);
  expect(new TextDecoder().decode((await verdict)._unsafeUnwrap().body))
    .toBe("late");
  expect(port.log).toHaveLength(2);
});

test("An endpoint that leaves a call unanswered has failed", async () => {
  const port = silentFirst("ok");
  const shared = context(port, ENTRIES);
  const options = {
    request: request(),
    route: route({ targetLatencyMs: 100 }),
    service: SERVICE,
    signal: new AbortController().signal,
  };
  const ended = new CallRun(shared, options).run();
  await vi.advanceTimersByTimeAsync(SILENCE_MS);
  await ended;
  const first = port.log[0]!.slice("call ".length);
  expect(shared.endpoints.get(asId(first))!.failuresInRow).toBe(1);
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
