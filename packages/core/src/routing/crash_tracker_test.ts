import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId } from "../common/ids.ts";
import { type Crash, CrashTracker, fingerprintOf } from "./crash_tracker.ts";
import { request } from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const [A, B, C] = ["a", "b", "c"].map((id) => asId<EndpointId>(id));
const POISON = fingerprintOf(request({ target: "/a/poison" }));
const NEIGHBOUR = fingerprintOf(request({ target: "/a/neighbour" }));

test("A request lost in three crashes is quarantined, other requests on those endpoints are not", () => {
  const sent: Crash[] = [];
  const tracker = new CrashTracker((crashes) => sent.push(...crashes));
  for (const endpoint of [A!, B!, C!]) {
    tracker.noteLostConnection(POISON, endpoint);
    tracker.noteLostConnection(NEIGHBOUR, endpoint);
    expect(tracker.isQuarantined(POISON)).toBe(false);
    tracker.noteCrash(endpoint);
    tracker.clear(NEIGHBOUR);
  }
  expect(tracker.isQuarantined(POISON)).toBe(true);
  expect(tracker.isQuarantined(NEIGHBOUR)).toBe(false);
  expect(sent.filter(({ request }) => request === POISON)).toHaveLength(3);
});

test("Lost connections to endpoints that keep running make no suspects", async () => {
  const tracker = new CrashTracker(() => {});
  for (const id of [A!, B!, C!]) tracker.noteLostConnection(POISON, id);
  await vi.advanceTimersByTimeAsync(4_000);
  for (const id of [A!, B!, C!]) tracker.noteCrash(id);
  expect(tracker.isQuarantined(POISON)).toBe(false);
  expect(tracker.hasSuspects).toBe(false);
});

test("Crashes reported by several VMs are added up, and expire", async () => {
  const tracker = new CrashTracker(() => {});
  tracker.addCrashes(
    [A!, B!, C!].map((endpoint) => ({ request: POISON, endpoint })),
  );
  expect(tracker.isQuarantined(POISON)).toBe(true);
  await vi.advanceTimersByTimeAsync(130_000);
  expect(tracker.isQuarantined(POISON)).toBe(false);
});

test("A fingerprint doesn't depend on the request id, but on the body", () => {
  const first = request({ id: asId("x") });
  expect(fingerprintOf(first)).toBe(fingerprintOf(request({ id: asId("y") })));
  const other = request({ body: new Uint8Array([1]) });
  expect(fingerprintOf(other)).not.toBe(fingerprintOf(first));
});
