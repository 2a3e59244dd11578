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
  type VmContext,
} from "@teaselvalve/core";
import { FakePlatform } from "@teaselvalve/fakes";
import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

interface Harness {
  readonly sent: EngineOrder[];
  /** Lets the report of the other model's engine arrive. */
  readonly answerPendingReports: () => void;
  readonly pendingReports: () => number;
}

/** Starts a task whose question about another model's engine stays open until the test answers it. */
function startTask(checksLease: boolean): Harness {
  const sent: EngineOrder[] = [];
  const asked: (() => void)[] = [];
  const platform = new FakePlatform();
  const engines = {
    order(_endpoint, order) {
      sent.push(order);
      return Promise.resolve(ok(undefined));
    },
    report({ id }) {
      const answer = ok(reportOf(id));
      return id === "decode-3"
        ? new Promise((resolve) => asked.push(() => resolve(answer)))
        : Promise.resolve(answer);
    },
  } as Partial<EnginePort> as EnginePort;
  const store: Partial<PlatformPort> = {
    transact: (writes) => Promise.resolve(ok(platform.transact(writes))),
    read: (table, key) => Promise.resolve(ok(platform.read(table, key))),
  };
  const self = { id: asId("vm-1"), incarnation: asId("boot-1") };
  const context = {
    identity: self,
    ports: { engines, platform: store },
    observer: SILENT_OBSERVER,
  } as unknown as VmContext;
  const home = { ...self, state: "live" };
  const elsewhere = { ...home, id: asId("vm-2") };
  const task = new OrdersTask(context, {
    configuration: {
      current: () => configuration() as never,
      onChange: () => () => {},
    },
    membership: {
      self,
      homeOf: (key: string) => key === "orders/other" ? elsewhere : home,
    } as never,
    policies: { checksLease },
  });
  task.start();
  return {
    sent,
    answerPendingReports: () => asked.splice(0).forEach((answer) => answer()),
    pendingReports: () => asked.length,
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

async function sendAfterDelay(
  checksLease: boolean,
  options: { remainingMs: number },
): Promise<EngineOrder[]> {
  const bench = startTask(checksLease);
  while (bench.pendingReports() === 0) await vi.advanceTimersByTimeAsync(100);
  // The lease was taken at most some ticks ago; the wait is counted from its start.
  await vi.advanceTimersByTimeAsync(LEASE_MS - options.remainingMs);
  bench.answerPendingReports();
  await vi.advanceTimersByTimeAsync(1);
  return bench.sent;
}

test("An order goes out under a lease that outlasts it", async () => {
  const sent = await sendAfterDelay(true, { remainingMs: LEASE_MS });
  expect(sent).toMatchObject([{ fencingNumber: 1, modelVersion: "v2" }]);
});

test("An order isn't sent once its lease has ended or hasn't room for it", async () => {
  expect(await sendAfterDelay(true, { remainingMs: -20_000 })).toEqual([]);
  expect(await sendAfterDelay(true, { remainingMs: ORDER_TIMEOUT_MS - 1 }))
    .toEqual([]);
});

test("Without the check the order of a lease that has ended is sent", async () => {
  expect(await sendAfterDelay(false, { remainingMs: -20_000 })).toHaveLength(1);
});
