import {
  asId,
  type EngineOrder,
  type EnginePort,
  LEASE_MS,
  type LoadReport,
  ORDER_TIMEOUT_MS,
  OrdersTask,
  type PlatformPort,
  SILENT_OBSERVER,
  SINGLE_ERA,
  type VmContext,
} from "@teaselvalve/core";
import { FakePlatform } from "@teaselvalve/fakes";
import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

interface Harness {
  readonly sent: EngineOrder[];
  /** Answers the pending report requests to decode-3, the engine of another model. */
  readonly answerPendingReports: () => void;
  /** Number of pending report requests to decode-3. */
  readonly pendingReports: () => number;
}

/**
 * Starts a task whose report requests to decode-3 stay pending until the test answers
 * them.
 */
function startTask(checksLease: boolean): Harness {
  const sent: EngineOrder[] = [];
  const pending: (() => void)[] = [];
  const platform = new FakePlatform();
  const engines = {
    order(_endpoint, order) {
      sent.push(order);
      return Promise.resolve(ok(undefined));
    },
    report({ id }) {
      const answer = ok(reportOf(id));
      return id === "decode-3"
        ? new Promise((resolve) => pending.push(() => resolve(answer)))
        : Promise.resolve(answer);
    },
  } as Partial<EnginePort> as EnginePort;
  const platformPort: Partial<PlatformPort> = {
    eras: SINGLE_ERA,
    transact: (writes) => Promise.resolve(ok(platform.transact(writes))),
    read: (table, key) => Promise.resolve(ok(platform.read(table, key))),
  };
  const self = { id: asId("vm-1"), incarnation: asId("boot-1") };
  const context = {
    identity: self,
    ports: { engines, platform: platformPort },
    observer: SILENT_OBSERVER,
  } as unknown as VmContext;
  const homeVm = { ...self, state: "live" };
  const otherVm = { ...homeVm, id: asId("vm-2") };
  const task = new OrdersTask(context, {
    configuration: {
      current: () => configuration() as never,
      onChange: () => () => {},
    },
    membership: {
      self,
      homeOf: (key: string) => key === "orders/other" ? otherVm : homeVm,
    } as never,
    policies: { checksLease },
  });
  task.start();
  return {
    sent,
    answerPendingReports: () => pending.splice(0).forEach((answer) => answer()),
    pendingReports: () => pending.length,
  };
}

function configuration() {
  const endpoint = (id: string, model: string) => ({
    id,
    kind: "decode",
    state: "live",
    model,
    adapters: [],
    checksFencing: false,
    modelVersion: "v2",
  });
  const endpoints = [
    endpoint("decode-1", "tiivistaja"),
    endpoint("decode-2", "tiivistaja"),
    endpoint("decode-3", "other"),
  ];
  return { bodies: { deployment: { modelLoadsPerMinute: 600 }, endpoints } };
}

function reportOf(id: string): LoadReport {
  const model = id === "decode-3" ? "other" : "tiivistaja";
  return {
    endpoint: asId(id),
    boot: "boot-1",
    ageMs: 0,
    state: "live",
    role: "decode",
    models: [model],
    modelVersion: "v1",
    slots: 20,
    memoryPieces: 2_000,
    runs: [],
    queuedTokens: 0,
  };
}

/**
 * Delays a report that the task waits for, so that only `remainingMs` of its lease remain
 * when it can send an order. Returns the orders that were sent.
 */
async function sendAfterDelay(
  checksLease: boolean,
  options: { remainingMs: number },
): Promise<EngineOrder[]> {
  const harness = startTask(checksLease);
  while (harness.pendingReports() === 0) await vi.advanceTimersByTimeAsync(100);
  // The lease was acquired at most a few ticks ago, so the wait counts from its start.
  await vi.advanceTimersByTimeAsync(LEASE_MS - options.remainingMs);
  harness.answerPendingReports();
  await vi.advanceTimersByTimeAsync(1);
  return harness.sent;
}

test("An order is sent if its lease outlasts the order's time limit", async () => {
  const sent = await sendAfterDelay(true, { remainingMs: LEASE_MS });
  expect(sent).toMatchObject([{ fencingNumber: 1, modelVersion: "v2" }]);
});

test("An order isn't sent if its lease has ended or ends before the order's time limit", async () => {
  expect(await sendAfterDelay(true, { remainingMs: -20_000 })).toEqual([]);
  expect(await sendAfterDelay(true, { remainingMs: ORDER_TIMEOUT_MS - 1 }))
    .toEqual([]);
});

test("Without the lease check, an order is sent although its lease has ended", async () => {
  expect(await sendAfterDelay(false, { remainingMs: -20_000 })).toHaveLength(1);
});
