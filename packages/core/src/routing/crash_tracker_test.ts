import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId } from "../common/ids.ts";
import { type Crash, CrashTracker, fingerprintOf } from "./crash_tracker.ts";
import { request } from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const [A, B, C] = ["a", "b", "c"].map((id) => asId<EndpointId>(id));
const POISON = fingerprintOf(request({ target: "/a/poison" }));
const NEIGHBOUR = fingerprintOf(request({ target: "/a/neighbour" }));

test("A request lost in three crashes is convicted, its neighbours are not", () => {
  const told: Crash[] = [];
  const book = new CrashTracker((crashes) => told.push(...crashes));
  for (const endpoint of [A!, B!, C!]) {
    book.noteLostConnection(POISON, endpoint);
    book.noteLostConnection(NEIGHBOUR, endpoint);
    expect(book.isQuarantined(POISON)).toBe(false);
    book.noteCrash(endpoint);
    book.clear(NEIGHBOUR);
  }
  expect(book.isQuarantined(POISON)).toBe(true);
  expect(book.isQuarantined(NEIGHBOUR)).toBe(false);
  expect(told.filter(({ request }) => request === POISON)).toHaveLength(3);
});

test("Lost answers of endpoints that live on suspect nobody", async () => {
  const book = new CrashTracker(() => {});
  for (const endpoint of [A!, B!, C!]) {
    book.noteLostConnection(POISON, endpoint);
  }
  await vi.advanceTimersByTimeAsync(4_000);
  for (const endpoint of [A!, B!, C!]) book.noteCrash(endpoint);
  expect(book.isQuarantined(POISON)).toBe(false);
  expect(book.hasSuspects).toBe(false);
});

test("What several VMs saw counts together, and is forgotten in time", async () => {
  const book = new CrashTracker(() => {});
  book.addCrashes(
    [A!, B!, C!].map((endpoint) => ({ request: POISON, endpoint })),
  );
  expect(book.isQuarantined(POISON)).toBe(true);
  await vi.advanceTimersByTimeAsync(130_000);
  expect(book.isQuarantined(POISON)).toBe(false);
});

test("A request is known again under another id, and by its body", () => {
  const one = request({ id: asId("x") });
  expect(fingerprintOf(one)).toBe(fingerprintOf(request({ id: asId("y") })));
  const other = request({ body: new Uint8Array([1]) });
  expect(fingerprintOf(other)).not.toBe(fingerprintOf(one));
});
