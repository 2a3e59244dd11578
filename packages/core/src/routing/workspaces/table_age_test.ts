import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type VmId } from "../../common/ids.ts";
import type { LogEvent } from "../../common/observe.ts";
import { wait } from "../../common/wait.ts";
import type { Member, MembershipView } from "../../membership/types.ts";
import type { PeerPort } from "../../ports/peers.ts";
import type { TableAnswer } from "../app.ts";
import type { RoutingTable } from "../types.ts";
import { TableAge } from "./table_age.ts";

const BOUND_MS = 3_000;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

function createAge(
  { peers = 9, answer, onHurry = () => {}, isFailing = true }: {
    peers?: number;
    /** The answer of each peer; null if it doesn't answer. */
    answer: () => TableAnswer | null;
    onHurry?: (source: { asOfMs: number }) => void;
    isFailing?: boolean;
  },
) {
  const source = {
    asOfMs: performance.now(),
    isFailing,
    hurry: () => onHurry(source),
  };
  const members = Array.from(
    { length: peers },
    (_, index) => ({ id: asId<VmId>(`vm-${index}`), state: "live" }) as Member,
  );
  const asked: string[] = [];
  const set: number[] = [];
  const events: LogEvent[] = [];
  let version = 1;
  const age = new TableAge({
    boundMs: BOUND_MS,
    usualMs: 2_700,
    source: () => source,
    membership: {
      self: { id: asId<VmId>("self") },
      members: () => members,
    } as unknown as MembershipView,
    peers: {
      call: async ({ id }: Member) => {
        asked.push(id);
        await wait(20);
        const answered = answer();
        return answered
          ? ok(answered)
          : err({ kind: "unreachable", detail: "" });
      },
    } as unknown as PeerPort,
    version: () => version,
    setTable: (table) => {
      version = table.version;
      set.push(version);
    },
    observer: { log: (event) => void events.push(event), count() {} },
    random: () => 0.5,
  });
  return { age, source, asked, set, events };
}

async function run<T>(promise: Promise<T>): Promise<T> {
  await vi.advanceTimersByTimeAsync(1_000);
  return await promise;
}

test("A table that the store confirmed within the bound is not outdated, and nothing is asked", async () => {
  const { age, asked } = createAge({ answer: () => null });
  vi.advanceTimersByTime(BOUND_MS);
  await run(age.update(400));
  expect(asked).toEqual([]);
  expect(age.isOutdated).toBe(true);
});

test("A table is outdated after the bound until a VM confirms it, for as long as that confirmation is recent", async () => {
  const { age, set } = createAge({
    answer: () => ({ table: null, ageMs: 1_000, readsWorkspaces: true }),
  });
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  expect(age.isOutdated).toBe(true);
  const updated = age.update(400);
  await vi.advanceTimersByTimeAsync(30);
  await updated;
  expect(age.isOutdated).toBe(false);
  expect(set).toEqual([]);
  await vi.advanceTimersByTimeAsync(2_000);
  expect(age.isOutdated).toBe(true);
});

test("A newer table of another VM becomes active, even if that VM's own may be outdated", async () => {
  const table = { version: 2 } as RoutingTable;
  const { age, set } = createAge({
    peers: 1,
    answer: () => ({ table, ageMs: null, readsWorkspaces: true }),
  });
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  await run(age.update(400));
  expect(set).toEqual([2]);
  expect(age.isOutdated).toBe(true);
});

// Guards against a VM of the previous build confirming a table, or giving one without
// its workspaces.
test("Answers of the previous build count for nothing", async () => {
  const table = { version: 2 } as RoutingTable;
  const { age, set } = createAge({ answer: () => ({ table }) });
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  await run(age.update(400));
  expect(set).toEqual([]);
  expect(age.isOutdated).toBe(true);
});

// Guards against a load on other VMs that grows with the rate of unknown keys.
test("Any number of requests share a few calls, and a failure holds for a while", async () => {
  const { age, asked, events } = createAge({ peers: 70, answer: () => null });
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  const startedAtMs = performance.now();
  const waits: number[] = [];
  const updates = Array.from({ length: 500 }, async () => {
    await age.update(400);
    waits.push(performance.now() - startedAtMs);
  });
  await vi.advanceTimersByTimeAsync(100);
  await Promise.all(updates);
  expect(Math.max(...waits)).toBeLessThan(100);
  for (let count = 0; count < 100; count += 1) await age.update(400);
  expect(asked).toHaveLength(4);
  expect(events.map(({ event }) => event)).toEqual(["keys-unverifiable"]);
  await vi.advanceTimersByTimeAsync(500);
  await run(age.update(400));
  expect(asked).toHaveLength(8);
});

test("After a stall, one read of the store brings the table up to date", async () => {
  const { age, asked } = createAge({
    answer: () => null,
    isFailing: false,
    onHurry: (source) => {
      const startedAtMs = performance.now();
      setTimeout(() => (source.asOfMs = startedAtMs), 10);
    },
  });
  expect(age.isUnexpected).toBe(false);
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  expect(age.isUnexpected).toBe(true);
  const updated = age.update(400);
  await vi.advanceTimersByTimeAsync(20);
  await updated;
  expect(age.isOutdated).toBe(false);
  expect(asked).toEqual([]);
});

test("While the store doesn't answer, other VMs are asked after a short time", async () => {
  const { age, asked } = createAge({
    answer: () => ({ table: null, ageMs: 10, readsWorkspaces: true }),
    isFailing: false,
  });
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  const updated = age.update(400);
  await vi.advanceTimersByTimeAsync(50);
  expect(asked).toEqual([]);
  await vi.advanceTimersByTimeAsync(50);
  await updated;
  expect(asked).toHaveLength(4);
  expect(age.isOutdated).toBe(false);
});

test("A request waits no longer than its own limit", async () => {
  const { age } = createAge({ answer: () => null, isFailing: false });
  await vi.advanceTimersByTimeAsync(BOUND_MS + 1);
  const startedAtMs = performance.now();
  const updated = age.update(50).then(() => performance.now() - startedAtMs);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await updated).toBeLessThanOrEqual(50);
});
