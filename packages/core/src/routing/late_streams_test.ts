// Streams that can't meet their target when they ask for an engine.
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { DecodeQueue } from "./decode_queue.ts";
import type { DecodeRequest } from "./decode_reservation.ts";
import {
  type AdmitOptions,
  type DecodeAdmission,
  LocalPlacement,
} from "./placement/placement.ts";
import { RequestClock } from "./request_clock.ts";
import {
  context,
  entry,
  FakeEndpoints,
  POOL,
  request,
  route,
  SERVICE,
} from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const TARGET_MS = 900;
const DEADLINE_MS = 14_000;
const ENGINE = entry("d", { stage: "decode" });

/** A queue whose home answers every stream with `kind`. */
function setUp(kind: DecodeAdmission["kind"] | null, isFull = false) {
  const asked: AdmitOptions[] = [];
  const port = new FakeEndpoints({
    reserve: () =>
      isFull ? err({ kind: "notExecuted", status: 503 }) : ok(asId("hold")),
  });
  const shared = context(port, [ENGINE]);
  const placement = new LocalPlacement(shared.endpoints);
  const engines = [...shared.endpoints.all()];
  placement.admitDecode = ((_service: unknown, options: AdmitOptions) => {
    asked.push(options);
    return Promise.resolve(kind && { kind, engines, askAgainMs: 40 });
  }) as never;
  const queue = new DecodeQueue({ ...shared, placement }, {
    service: SERVICE,
    pool: () => POOL,
  });
  return { queue, asked, port };
}

/** A stream whose prefill takes longer than its target. */
function lateRequest(options: Partial<DecodeRequest> = {}): DecodeRequest {
  return {
    attempt: asId("a"),
    clock: new RequestClock(
      request({ callerTimeoutMs: DEADLINE_MS }),
      route({ targetLatencyMs: TARGET_MS, timeoutMs: DEADLINE_MS }),
    ),
    load: {
      promptTokens: 900,
      generatedTokens: 0,
      expectedTokens: 50,
      maxTokens: 100,
    },
    prefillMs: TARGET_MS + 100,
    avoid: new Set(),
    version: null,
    mustBeOnTime: true,
    findRefusal: () => null,
    signal: new AbortController().signal,
    ...options,
  };
}

test("A stream whose prefill leaves no time is served if the home has a place that nobody needs", async () => {
  const { queue, asked } = setUp("place");
  const reservation = (await queue.enqueue(lateRequest()))._unsafeUnwrap();
  expect(reservation.isLate).toBe(true);
  expect(asked.map(({ isLate }) => isLate)).toEqual([true]);
});

test.each([["wait", false], ["full", false], ["place", true], [null, false]])(
  "A late stream is refused at once if the home answers %s, or the engine refuses it (%s)",
  async (kind, isFull) => {
    const { queue } = setUp(kind as DecodeAdmission["kind"] | null, isFull);
    const startedMs = performance.now();
    const refusal = (await queue.enqueue(lateRequest()))._unsafeUnwrapErr();
    expect(refusal.reason).toBe("no-capacity");
    expect(performance.now() - startedMs).toBeLessThan(10);
    expect(queue.length).toBe(0);
  },
);

test("A late stream is refused without asking if its prefill would end after its deadline", async () => {
  const { queue, asked } = setUp("place");
  const prefillMs = DEADLINE_MS + 1;
  const result = await queue.enqueue(lateRequest({ prefillMs }));
  expect(result._unsafeUnwrapErr().reason).toBe("no-capacity");
  expect(asked).toEqual([]);
});

test("The place of a late stream whose caller leaves meanwhile is released", async () => {
  const { queue, port } = setUp("place");
  const caller = new AbortController();
  const result = queue.enqueue(lateRequest({ signal: caller.signal }));
  caller.abort();
  expect((await result)._unsafeUnwrapErr().reason).toBe("cancelled");
  expect(port.released).toEqual(["hold"]);
});
