// Guards against requests that are sent during a stop although they can't be finished, and against needless refusals.
import { err } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { CallRun } from "./call_run.ts";
import type { SendFailure } from "./port.ts";
import { StopGate } from "./stop_gate.ts";
import {
  context,
  entry,
  FakeEndpoints,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";
import { shareEngines, startStream } from "./testing/streams.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const STOP = { servingMs: 3_000, cutMs: 7_400 };
const UNSAFE = route({ kind: "unsafe" });

function begin(): StopGate {
  const gate = new StopGate();
  gate.begin(STOP);
  return gate;
}

test("Without a stop, nothing is refused", () => {
  expect(new StopGate().refusalOf(UNSAFE, 60_000)).toBeNull();
});

test("What is sure to end before the cut is taken at any time", async () => {
  const gate = begin();
  for (let passedMs = 0; passedMs < 7_000; passedMs += 500) {
    const leftMs = STOP.cutMs - passedMs - 200;
    expect(gate.refusalOf(UNSAFE, leftMs)).toBeNull();
    await vi.advanceTimersByTimeAsync(500);
  }
});

test("While callers may still arrive, a request is taken if its route's requests end in time", async () => {
  const gate = begin();
  gate.noteDuration(UNSAFE, 5_000);
  expect(gate.refusalOf(UNSAFE, 20_000)).toBeNull();
  await vi.advanceTimersByTimeAsync(2_500);
  expect(gate.refusalOf(UNSAFE, 20_000)).toMatchObject({
    kind: "notRun",
    reason: "stopping",
  });
  expect(gate.refusalOf(route({ name: UNSAFE.name }), 4_000)).toBeNull();
});

test("A stream that another VM can continue is taken while callers may still arrive, and no longer", async () => {
  const gate = begin();
  const stream = route({ kind: "stream", resumable: true });
  gate.noteDuration(stream, 14_000);
  expect(gate.refusalOf(stream, 14_000)).toBeNull();
  await vi.advanceTimersByTimeAsync(STOP.servingMs);
  expect(gate.refusalOf(stream, 14_000)).not.toBeNull();
});

test("A second signal doesn't put the cut off", async () => {
  const gate = begin();
  await vi.advanceTimersByTimeAsync(5_000);
  gate.begin(STOP);
  expect(gate.refusalOf(UNSAFE, 5_000)).not.toBeNull();
});

test("Durations are forgotten after a while", async () => {
  const gate = new StopGate();
  gate.noteDuration(UNSAFE, 10_000);
  await vi.advanceTimersByTimeAsync(70_000);
  for (let count = 0; count < 3; count += 1) {
    gate.noteDuration(UNSAFE, 10);
    await vi.advanceTimersByTimeAsync(30_000);
  }
  gate.begin(STOP);
  expect(gate.refusalOf(UNSAFE, 20_000)).toBeNull();
});

test("A call is not sent again once it can't be finished, and its refusal says that it may have run", async () => {
  const lost: SendFailure = { kind: "lost", detail: "reset" };
  const gate = new StopGate();
  const port = new FakeEndpoints({
    call: () => {
      gate.begin({ servingMs: 0, cutMs: 100 });
      return Promise.resolve(err(lost));
    },
  });
  const entries = [entry("a"), entry("b")];
  const verdict = await new CallRun(
    { ...context(port, entries), stop: gate },
    {
      request: request(),
      route: route({ kind: "safe" }),
      service: SERVICE,
      signal: new AbortController().signal,
    },
  ).run();
  expect(verdict._unsafeUnwrapErr()).toMatchObject({ kind: "mayHaveRun" });
  expect(port.log).toHaveLength(1);
});

test("A stream that waits for a place is refused as not run once it can't be finished", async () => {
  const full: SendFailure = { kind: "notExecuted", status: 503 };
  const port = new FakeEndpoints({ reserve: () => err(full) });
  const shared = shareEngines(port);
  const gate = new StopGate();
  const { ended } = startStream(
    { ...shared, context: { ...shared.context, stop: gate } },
    { route: { targetLatencyMs: 10_000 } },
  );
  await vi.advanceTimersByTimeAsync(1_000);
  gate.begin(STOP);
  await vi.advanceTimersByTimeAsync(STOP.servingMs + 100);
  expect(await ended).toMatchObject({
    kind: "refused",
    refusal: { kind: "notRun", reason: "stopping" },
  });
  expect(port.log.filter((line) => line.startsWith("stream"))).toEqual([]);
});
