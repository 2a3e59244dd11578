// What engines are told of the urgency of streams.
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { Router } from "./router.ts";
import {
  context,
  event,
  EVENT_HEAD,
  FakeEndpoints,
  POOL,
  request,
  route,
  table,
} from "./testing/fake_endpoints.ts";
import { DEADLINE_MS, ENGINES, PROMPT, TARGET_MS } from "./testing/streams.ts";
import type { Route, RoutedRequest } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const STREAM = {
  kind: "stream",
  resumable: true,
  timeoutMs: DEADLINE_MS,
  targetLatencyMs: TARGET_MS,
  maxEventGapMs: 300,
} as const;

/** Runs a stream of the first route, and returns the urgencies of its sends. */
async function urgenciesOf(
  routes: [Route, ...Route[]],
  { failures = 0, ...fields }: Partial<RoutedRequest> & { failures?: number } =
    {},
) {
  const sent: string[] = [];
  let left = failures;
  const port = new FakeEndpoints({
    prefill: (_endpoint, { urgency }) => {
      sent.push(`prefill ${urgency}`);
      return Promise.resolve(ok({ handle: asId("kv"), tokens: 1 }));
    },
    stream: (_endpoint, { urgency, listener }) => {
      sent.push(`decode ${urgency}`);
      left -= 1;
      if (left >= 0) {
        return Promise.resolve(err({ kind: "lost", detail: "reset" }));
      }
      listener.onHead(EVENT_HEAD);
      listener.onData(event(1));
      return Promise.resolve(ok(undefined));
    },
  });
  const router = new Router(context(port, ENGINES));
  router.setTable(table(1, { routes, engines: POOL }));
  const outcome = router.handle(
    request({ callerTimeoutMs: DEADLINE_MS, prompt: PROMPT, ...fields }),
    {
      route: routes[0],
      sink: { head() {}, write: () => true, onDrain() {} },
      signal: new AbortController().signal,
    },
  );
  await vi.advanceTimersByTimeAsync(1_000);
  await outcome;
  return sent;
}

const HIGH = route({ ...STREAM, priority: 0 });
const LOW = route({ ...STREAM, prefix: "/b/", priority: 2 });

test("Engines are told the priority of a stream where its service has several", async () => {
  expect(await urgenciesOf([HIGH, LOW])).toEqual(["prefill 0", "decode 0"]);
  expect(await urgenciesOf([LOW, HIGH])).toEqual(["prefill 2", "decode 2"]);
  expect(await urgenciesOf([LOW, HIGH], { priority: 1 }))
    .toEqual(["prefill 1", "decode 1"]);
});

test("Engines are told nothing where all streams of a service have one priority", async () => {
  expect(await urgenciesOf([LOW, { ...LOW, prefix: "/c/" }]))
    .toEqual(["prefill undefined", "decode undefined"]);
});

test("A retry keeps the urgency of its request", async () => {
  const sent = await urgenciesOf([LOW, HIGH], { failures: 1 });
  expect(sent.length).toBeGreaterThan(2);
  expect(new Set(sent)).toEqual(new Set(["prefill 2", "decode 2"]));
});
