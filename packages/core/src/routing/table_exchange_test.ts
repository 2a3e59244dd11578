// Guards against forwarded requests that are served by an older routing table than the
// one under which they were accepted.
import { ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type Incarnation, type VmId } from "../common/ids.ts";
import { wait } from "../common/wait.ts";
import type { Probe } from "../membership/app.ts";
import type { Member } from "../membership/types.ts";
import type { PeerPort } from "../ports/peers.ts";
import { TableExchange } from "./table_exchange.ts";
import { table } from "./testing/fake_endpoints.ts";
import type { RoutingTable } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const FROM = asId<VmId>("vm-1");
const LEFT_MS = 3_000;
const PEER_MS = 5;
const MAX_WAIT_MS = 250;

/** A VM whose only table is version 1; other VMs answer with the table of `peer`. */
function setUp({ isStoreFailing = true, delayMs = PEER_MS } = {}) {
  const state = {
    active: table(1, { routes: [] }) as RoutingTable,
    peer: 2,
    fetches: 0,
    probes: 0,
    /** What another VM answers to a probe; null if it doesn't. */
    answer: probe({}) as Probe | null,
  };
  const call = async () => {
    state.fetches += 1;
    await wait(delayMs);
    return ok({
      table: table(state.peer, { routes: [] }),
      readsWorkspaces: true,
    });
  };
  const setTable = (newer: RoutingTable) => {
    if (newer.version <= state.active.version) return;
    state.active = newer;
    exchange.noteTable();
  };
  const exchange: TableExchange = new TableExchange({
    membership: { member: (id) => ({ id }) as unknown as Member },
    peers: { call } as unknown as PeerPort,
    table: () => state.active,
    probe: async () => {
      state.probes += 1;
      await wait(state.answer ? PEER_MS : 10 * MAX_WAIT_MS);
      if (state.answer) exchange.compare(state.answer);
    },
    setTable,
    isStoreFailing: () => isStoreFailing,
  });
  const awaitVersion = async (version: number, leftMs = LEFT_MS) => {
    const startedMs = performance.now();
    const refusal = await exchange.awaitVersion({
      from: FROM,
      version,
      leftMs,
    });
    return { refusal, tookMs: performance.now() - startedMs };
  };
  const mayServe = async (
    version: number,
    incarnation: Incarnation = asId("first"),
  ) => {
    const vm = { id: FROM, incarnation } as unknown as Member;
    const answer = exchange.mayServe(vm, version);
    await vi.advanceTimersByTimeAsync(MAX_WAIT_MS);
    return await answer;
  };
  return { state, exchange, awaitVersion, setTable, mayServe };
}

function probe(options: Partial<Probe>): Probe {
  return {
    from: FROM,
    incarnation: asId("first"),
    statusVersion: 1,
    leaving: false,
    configurationVersion: 1,
    viewHash: 0,
    news: [],
    ...options,
  };
}

/** Lets a VM start whose peers have nothing newer. */
async function start({ exchange }: ReturnType<typeof setUp>): Promise<void> {
  await exchange.start(() => Promise.resolve());
}

test("A VM whose store doesn't answer fetches the table of a forwarded request from the VM that sent it", async () => {
  const vm = setUp();
  await start(vm);
  const waiting = [vm.awaitVersion(2), vm.awaitVersion(2), vm.awaitVersion(1)];
  await vi.advanceTimersByTimeAsync(2 * PEER_MS);
  for (const { refusal, tookMs } of await Promise.all(waiting)) {
    expect(refusal).toBeNull();
    expect(tookMs).toBeLessThanOrEqual(PEER_MS);
  }
  expect(vm.state.fetches).toBe(1);
});

test("A table that the store brings is used at once, without a fetch", async () => {
  const vm = setUp({ isStoreFailing: false });
  await start(vm);
  const waiting = vm.awaitVersion(2);
  await vi.advanceTimersByTimeAsync(20);
  vm.setTable(table(2, { routes: [] }));
  await vi.advanceTimersByTimeAsync(1_000);
  const { refusal, tookMs } = await waiting;
  expect(refusal).toBeNull();
  expect(tookMs).toBe(20);
  expect(vm.state.fetches).toBe(0);
});

test("A forwarded request is refused as not run if its table doesn't come within a part of its time", async () => {
  for (const [leftMs, limitMs] of [[LEFT_MS, MAX_WAIT_MS], [400, 100]]) {
    const vm = setUp({ delayMs: 10_000 });
    await start(vm);
    const waiting = vm.awaitVersion(2, leftMs);
    await vi.advanceTimersByTimeAsync(1_000);
    const { refusal, tookMs } = await waiting;
    expect(refusal).toMatchObject({
      kind: "notRun",
      reason: "no-configuration",
    });
    expect(tookMs).toBeGreaterThanOrEqual(limitMs!);
    expect(tookMs).toBeLessThan(limitMs! + 20);
  }
});

test("A request isn't served by a fetched table that is still too old", async () => {
  const vm = setUp();
  await start(vm);
  const waiting = vm.awaitVersion(3);
  await vi.advanceTimersByTimeAsync(100);
  expect(vm.state.active.version).toBe(2);
  vm.state.peer = 3;
  await vi.advanceTimersByTimeAsync(100);
  const { refusal, tookMs } = await waiting;
  expect(refusal).toBeNull();
  expect(tookMs).toBeGreaterThan(100);
});

test("A fetch that a probe began from a silent VM doesn't hold up forwarded requests", async () => {
  const vm = setUp({ isStoreFailing: false });
  await start(vm);
  vm.exchange.compare(probe({ configurationVersion: 2 }));
  const waiting = vm.awaitVersion(2);
  await vi.advanceTimersByTimeAsync(MAX_WAIT_MS);
  const { refusal, tookMs } = await waiting;
  expect(refusal).toBeNull();
  expect(tookMs).toBeLessThan(60);
});

test("A VM whose request was served by a newer table forwards none below it, and fetches it", async () => {
  const vm = setUp();
  await start(vm);
  expect(vm.exchange.servedVersion).toBe(1);
  vm.exchange.noteServed(FROM, 2);
  expect(vm.exchange.servedVersion).toBe(2);
  await vi.advanceTimersByTimeAsync(2 * PEER_MS);
  expect(vm.state.active.version).toBe(2);
});

test("A VM of the previous build gets a request only if it is known to have its table", async () => {
  const { state, exchange, mayServe } = setUp();
  expect(await mayServe(1)).toBe(true);
  expect(await mayServe(2)).toBe(false);
  state.answer = probe({ configurationVersion: 2 });
  expect(await mayServe(2)).toBe(true);
  const { probes } = state;
  exchange.compare(probe({ configurationVersion: 1 }));
  expect(await mayServe(2)).toBe(true);
  expect(state.probes).toBe(probes);
});

test("A VM that checks the version of requests is probed once per incarnation", async () => {
  const { state, mayServe } = setUp();
  state.answer = probe({ checksHops: true });
  expect(await Promise.all([mayServe(8), mayServe(9)])).toEqual([true, true]);
  expect(await mayServe(10)).toBe(true);
  expect(state.probes).toBe(1);
  state.answer = probe({ incarnation: asId("next") });
  expect(await mayServe(10, asId("next"))).toBe(false);
  expect(state.probes).toBe(2);
});

test("A VM that answers no probe gets no request, and delays it no longer than a table would", async () => {
  const { state, mayServe } = setUp();
  state.answer = null;
  const startedMs = performance.now();
  expect(await mayServe(1)).toBe(false);
  expect(performance.now() - startedMs).toBeLessThanOrEqual(MAX_WAIT_MS);
});
