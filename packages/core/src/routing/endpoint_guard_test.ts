import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../common/observe.ts";
import type { Member, VmIdentity } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import { EndpointGuard } from "./endpoint_guard.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import type { EndpointNotice, NoticeListener } from "./port.ts";
import { entry, FakeEndpoints, request } from "./testing/fake_endpoints.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ENDPOINT = entry("a");

/** The guard of a single VM, whose view has one endpoint. */
function setUp() {
  const self = { id: "vm-1", region: "r" } as unknown as VmIdentity;
  const port = new FakeEndpoints();
  let notify: NoticeListener = () => {};
  const guard: EndpointGuard = new EndpointGuard({
    membership: {
      self,
      members: () => [self as unknown as Member],
      member: () => undefined,
      homeOf: () => self as unknown as Member,
      onChange: () => () => {},
    },
    peers: {} as PeerPort,
    calls: (listener) => {
      notify = listener;
      return port;
    },
    endpoints: () => endpoints,
    healthPathOf: () => null,
    crashTable: {
      readAll: () => Promise.resolve(ok({ storeTimeMs: 0, rows: [] })),
      write: () => Promise.resolve(ok(undefined)),
    },
    observer: SILENT_OBSERVER,
    random: () => 0,
  });
  const endpoints = new EndpointRegistry(
    SILENT_OBSERVER,
    (ended) => guard.noteEndpointEnd(ended),
  );
  endpoints.replace([ENDPOINT]);
  const note = (notice: Partial<EndpointNotice>) =>
    notify(ENDPOINT, {
      limitPerSecond: undefined,
      pauseMs: null,
      isLeaving: false,
      answerKind: "request",
      sentAtMs: performance.now(),
      ...notice,
    });
  const call = () =>
    guard.calls.call(ENDPOINT, {
      request: request(),
      timeLeftMs: 1_000,
      firstByteMs: 1_000,
      signal: new AbortController().signal,
    });
  return { endpoints, note, call };
}

/** Removes the entry of the endpoint from the directory, and adds it again. */
function expireEntry(endpoints: EndpointRegistry): void {
  endpoints.replace([]);
  endpoints.replace([ENDPOINT]);
}

test("A pause outlasts the directory's entry of its endpoint", async () => {
  const { endpoints, note, call } = setUp();
  note({ pauseMs: 3_000 });
  expireEntry(endpoints);
  expect((await call())._unsafeUnwrapErr().kind).toBe("limited");
  await vi.advanceTimersByTimeAsync(3_000);
  expect((await call()).isOk()).toBe(true);
});

test("A limit outlasts the directory's entry of its endpoint", async () => {
  const { endpoints, note, call } = setUp();
  note({ limitPerSecond: 0.2 });
  await vi.advanceTimersByTimeAsync(10_000);
  let sent = 0;
  for (let round = 0; round < 100; round += 1) {
    expireEntry(endpoints);
    if ((await call()).isOk()) sent += 1;
    await vi.advanceTimersByTimeAsync(40);
  }
  // Four seconds: one and a half times the limit, and five more.
  expect(sent).toBeLessThanOrEqual(0.2 * 4 * 1.5 + 5);
  expect(sent).toBeGreaterThan(0);
});
