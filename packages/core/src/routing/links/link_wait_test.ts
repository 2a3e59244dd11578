// Guards against resumed streams that are refused while links come back within their time.
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../../common/ids.ts";
import { notRun } from "../../common/verdict.ts";
import { Router } from "../router.ts";
import {
  context,
  entry,
  event,
  EVENT_HEAD,
  FakeEndpoints,
  request,
  route,
  SERVICE,
  table,
} from "../testing/fake_endpoints.ts";
import type { Forwarding } from "./forwarder.ts";
import type { ForwardResult } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const DEADLINE_MS = 3_000;
const ROUTE = route({
  kind: "stream",
  resumable: true,
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: 500,
});
const NO_LINKS: ForwardResult = err({
  kind: "refused",
  refusal: notRun("no-links"),
});

/** A VM that has lost its links, as have all others until `linked` is set. */
function setUp() {
  const port = new FakeEndpoints();
  const state = { lost: true, linked: false, asked: 0 };
  const forwarding: Forwarding = {
    isLost: () => state.lost,
    settled: () => Promise.resolve(),
    send: ({ listener }) => {
      state.asked += 1;
      if (!state.linked) return Promise.resolve(NO_LINKS);
      listener.onHead(EVENT_HEAD);
      listener.onData(event(3));
      return Promise.resolve(ok(undefined));
    },
  };
  const shared = { ...context(port, [entry("a"), entry("b")]), forwarding };
  const router = new Router(shared);
  router.setTable(table(1, { routes: [ROUTE] }));
  shared.origins.note(asId("first"), { service: SERVICE, version: asId("v1") });
  const start = ({ resumed }: { resumed: boolean }) => {
    const startedMs = performance.now();
    const stream = request({
      callerTimeoutMs: DEADLINE_MS,
      ...(resumed ? { lastEventId: "2", resumes: asId("first") } : {}),
    });
    return router.handle(stream, {
      route: ROUTE,
      sink: { head() {}, write: () => true, onDrain() {} },
      signal: new AbortController().signal,
    }).then((outcome) => ({
      outcome,
      tookMs: performance.now() - startedMs,
    }));
  };
  return { port, state, start };
}

const REFUSED = {
  kind: "refused",
  refusal: { kind: "notRun", reason: "no-links" },
};

test("A resumed stream goes on over a VM whose links come back within its time", async () => {
  const { state, start } = setUp();
  const resumed = start({ resumed: true });
  await vi.advanceTimersByTimeAsync(500);
  state.linked = true;
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toEqual({ kind: "complete" });
  expect(tookMs).toBeLessThan(0.5 * DEADLINE_MS);
});

test("A resumed stream is sent at once when the links of its own VM come back", async () => {
  const { port, state, start } = setUp();
  const resumed = start({ resumed: true });
  await vi.advanceTimersByTimeAsync(500);
  state.lost = false;
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toEqual({ kind: "complete" });
  expect(tookMs).toBeLessThan(600);
  expect(port.log).toHaveLength(1);
});

test("A resumed stream is refused as not run with half of its time left if no links come back", async () => {
  const { port, state, start } = setUp();
  const resumed = start({ resumed: true });
  await vi.advanceTimersByTimeAsync(DEADLINE_MS);
  const { outcome, tookMs } = await resumed;
  expect(outcome).toMatchObject(REFUSED);
  expect(tookMs).toBeGreaterThan(0.45 * DEADLINE_MS);
  expect(tookMs).toBeLessThan(0.52 * DEADLINE_MS);
  expect(state.asked).toBeLessThanOrEqual(5);
  expect(port.log).toEqual([]);
});

test("A new stream is refused at once if no VM has links", async () => {
  const { start } = setUp();
  const begun = start({ resumed: false });
  await vi.advanceTimersByTimeAsync(1);
  const { outcome, tookMs } = await begun;
  expect(outcome).toMatchObject(REFUSED);
  expect(tookMs).toBeLessThan(1);
});
