import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type VmId } from "../common/ids.ts";
import { SILENT_OBSERVER } from "../common/observe.ts";
import { wait } from "../common/wait.ts";
import { NO_ERA } from "../store/version.ts";
import {
  OriginRecord,
  type OriginRow,
  type OriginTable,
} from "./origin_record.ts";
import type { StreamOrigin } from "./stream_origins.ts";
import { entry } from "./testing/fake_endpoints.ts";
import type { AttemptId, EndpointEntry } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const V1 = originOf("v1");
const V2 = originOf("v2");

function originOf(version: string): StreamOrigin {
  const { service } = entry("any");
  return { service, version: asId(version) };
}

function engine(version: string, id = version): EndpointEntry {
  return entry(id, { stage: "decode", softwareVersion: asId(version) });
}

/** The store's clock minus that of the VMs. */
const STORE_CLOCK_MS = 1_000_000;

/** Rows in memory, which can't be reached while `isAway` is set. */
class FakeTable implements OriginTable {
  readonly rows = new Map<VmId, OriginRow>();
  isAway = false;
  era = NO_ERA;
  writeMs = 0;
  writes = 0;
  openWrites = 0;

  readAll() {
    if (this.isAway) return Promise.resolve(this.#failure());
    const storeTimeMs = performance.now() + STORE_CLOCK_MS;
    const rows = [...this.rows.values()];
    return Promise.resolve(ok({ storeTimeMs, era: this.era, rows }));
  }

  async write(row: OriginRow, { deleted }: { deleted: readonly VmId[] }) {
    if (this.isAway) return this.#failure();
    this.writes += 1;
    this.openWrites += 1;
    if (this.writeMs > 0) await wait(this.writeMs);
    this.openWrites -= 1;
    for (const vm of deleted) this.rows.delete(vm);
    this.rows.set(row.vm, row);
    return ok(undefined);
  }

  #failure() {
    return err({ kind: "notSent" as const, detail: "away" });
  }
}

/** Starts a VM's record over endpoints that the test may change. */
async function startVm(
  table: OriginTable,
  { vm = "vm-1", engines = [engine("v1")], vmCount = 1, newest }: {
    vm?: string;
    engines?: EndpointEntry[];
    vmCount?: number;
    /** Endpoints in the store that the VM hasn't read yet. */
    newest?: EndpointEntry[];
  } = {},
) {
  const endpoints = [...engines];
  const record = new OriginRecord({
    vm: asId(vm),
    table,
    endpoints: () => endpoints,
    readEndpoints: () =>
      Promise.resolve(
        table instanceof FakeTable && table.isAway
          ? err({ kind: "notSent", detail: "away" })
          : ok(newest ?? endpoints),
      ),
    vmCount: () => vmCount,
    observer: SILENT_OBSERVER,
  });
  record.start();
  record.noteEndpoints();
  await vi.advanceTimersByTimeAsync(10);
  const replace = (...newer: EndpointEntry[]) => {
    record.noteEndpoints();
    endpoints.splice(0, endpoints.length, ...newer);
    record.noteEndpoints();
  };
  return { record, replace };
}

function possibleVersions(record: OriginRecord): string[] | null {
  return record.possibleOrigins()?.map(({ version }) => version).sort() ??
    null;
}

const attempt = (n: number) => asId<AttemptId>(`attempt-${n}`);

test("A stream is found by a VM that starts after the one that relayed it has ended", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table);
  record.note(attempt(1), V1);
  await vi.advanceTimersByTimeAsync(300);
  record.stop();
  const { record: later } = await startVm(table, { vm: "vm-2" });
  expect(later.get(attempt(1))).toEqual(V1);
});

test("A VM that starts again keeps what its row held", async () => {
  const table = new FakeTable();
  for (const n of [1, 2, 3]) {
    const { record } = await startVm(table);
    record.note(attempt(n), V1);
    await vi.advanceTimersByTimeAsync(300);
    record.stop();
  }
  const { record } = await startVm(table, { vm: "vm-2" });
  for (const n of [1, 2, 3]) expect(record.get(attempt(n))).toEqual(V1);
});

test("A VM that starts while the store is away doesn't lose its row", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table);
  record.note(attempt(1), V1);
  await vi.advanceTimersByTimeAsync(300);
  record.stop();
  table.isAway = true;
  const { record: again } = await startVm(table);
  again.note(attempt(2), V1);
  await vi.advanceTimersByTimeAsync(3_000);
  expect(possibleVersions(again)).toBeNull();
  table.isAway = false;
  await vi.advanceTimersByTimeAsync(3_000);
  expect([...table.rows.get(asId("vm-1"))!.streams.keys()])
    .toEqual([attempt(1), attempt(2)]);
});

test("A stream that was recorded after the last reading is found by reading again", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table);
  const { record: other } = await startVm(table, { vm: "vm-2" });
  record.note(attempt(1), V1);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(other.get(attempt(1))).toBeNull();
  expect(await other.find(attempt(1))).toEqual(V1);
});

test("A VM without rows of others doesn't know which versions served until streams from before it are over", async () => {
  const { record } = await startVm(new FakeTable());
  expect(possibleVersions(record)).toBeNull();
  await vi.advanceTimersByTimeAsync(59_000);
  expect(possibleVersions(record)).toBeNull();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(possibleVersions(record)).toEqual(["v1"]);
});

test("A VM takes nothing from the rows of VMs that know no more of the past than itself", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table);
  const { record: other } = await startVm(table, { vm: "vm-2" });
  for (const [n, vm] of [record, other].entries()) {
    vm.note(attempt(n), V1);
    await vi.advanceTimersByTimeAsync(1_000);
  }
  expect(table.rows.size).toBe(2);
  for (const vm of [record, other]) {
    await vm.find(attempt(9));
    expect(possibleVersions(vm)).toBeNull();
  }
});

test("A write that is slow is not overtaken by a later one", async () => {
  const table = new FakeTable();
  table.writeMs = 700;
  const { record } = await startVm(table);
  for (let n = 0; n < 10; n += 1) {
    record.note(attempt(n), V1);
    await vi.advanceTimersByTimeAsync(100);
    expect(table.openWrites).toBeLessThanOrEqual(1);
  }
  await vi.advanceTimersByTimeAsync(3_000);
  expect(table.rows.get(asId("vm-1"))!.streams.size).toBe(10);
});

test("Rows are written seldom while one version serves, and at once when another begins to", async () => {
  const table = new FakeTable();
  const { record, replace } = await startVm(table);
  await vi.advanceTimersByTimeAsync(61_000);
  record.note(attempt(0), V1);
  await vi.advanceTimersByTimeAsync(300);
  const before = table.writes;
  for (let n = 1; n <= 40; n += 1) {
    record.note(attempt(n), V1);
    await vi.advanceTimersByTimeAsync(500);
  }
  expect(table.writes - before).toBeLessThanOrEqual(4);
  record.note(attempt(41), V1);
  replace(engine("v2"));
  await vi.advanceTimersByTimeAsync(50);
  record.stop();
  const { record: later } = await startVm(table, {
    vm: "vm-2",
    engines: [engine("v2")],
  });
  expect(await later.find(attempt(41))).toEqual(V1);
});

test("A version that was replaced while no VM ran counts as possible", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table);
  await vi.advanceTimersByTimeAsync(61_000);
  record.note(attempt(1), V1);
  await vi.advanceTimersByTimeAsync(300);
  record.stop();
  await vi.advanceTimersByTimeAsync(5_000);
  const { record: later } = await startVm(table, { engines: [engine("v2")] });
  expect(possibleVersions(later)).toEqual(["v1", "v2"]);
});

test("A version whose last endpoint is gone counts for a minute or longer, also after restarts, and then no more", async () => {
  const table = new FakeTable();
  const { record, replace } = await startVm(table);
  await startVm(table, { vm: "vm-2" });
  await vi.advanceTimersByTimeAsync(61_000);
  replace(engine("v2"));
  await vi.advanceTimersByTimeAsync(50_000);
  await record.find(attempt(1));
  expect(possibleVersions(record)).toEqual(["v1", "v2"]);
  record.note(attempt(1), V2);
  await vi.advanceTimersByTimeAsync(300);
  record.stop();
  const { record: later } = await startVm(table, { engines: [engine("v2")] });
  expect(possibleVersions(later)).toEqual(["v1", "v2"]);
  for (let n = 0; n < 10; n += 1) {
    later.note(attempt(n), V2);
    await later.find(attempt(n));
    await vi.advanceTimersByTimeAsync(10_000);
  }
  expect(possibleVersions(later)).toEqual(["v2"]);
});

test("Rows that are too old to matter are not used, and are deleted", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table, { vm: "gone" });
  record.note(attempt(1), V1);
  await vi.advanceTimersByTimeAsync(300);
  record.stop();
  await vi.advanceTimersByTimeAsync(61_000);
  const { record: later } = await startVm(table, { engines: [engine("v2")] });
  expect(later.get(attempt(1))).toBeNull();
  expect(possibleVersions(later)).toBeNull();
  expect([...table.rows.keys()]).toEqual(["vm-1"]);
});

test("Many VMs with many streams write at most 400 rows a second together", async () => {
  for (const vmCount of [9, 60, 1_000]) {
    const table = new FakeTable();
    const { record } = await startVm(table, { vmCount });
    await vi.advanceTimersByTimeAsync(1_000);
    const before = table.writes;
    for (let n = 0; n < 10_000; n += 10) {
      record.note(attempt(n), V1);
      await vi.advanceTimersByTimeAsync(10);
    }
    const seconds = 10;
    expect((table.writes - before) * vmCount / seconds)
      .toBeLessThanOrEqual(400);
    expect(table.writes).toBeGreaterThan(before);
    record.stop();
  }
});

test("A version that a VM missed may have begun a stream once the store was asked", async () => {
  const newest = [engine("v1"), engine("v2")];
  const { record } = await startVm(new FakeTable(), { newest });
  await vi.advanceTimersByTimeAsync(61_000);
  expect(possibleVersions(record)).toEqual(["v1"]);
  expect(await record.confirmPossible(performance.now())).toBe(true);
  expect(possibleVersions(record)).toEqual(["v1", "v2"]);
});

test("What may have begun a stream isn't confirmed by a read from before, nor without the store", async () => {
  const table = new FakeTable();
  const { record } = await startVm(table);
  await vi.advanceTimersByTimeAsync(61_000);
  await record.find(attempt(1));
  table.isAway = true;
  const confirmed = record.confirmPossible(performance.now() + 1);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await confirmed).toBe(false);
});

test("A stream that was read before the store came back without its row is found, for as long as it can be resumed", async () => {
  const table = new FakeTable();
  const { record: relaying } = await startVm(table);
  relaying.note(attempt(1), V1);
  await vi.advanceTimersByTimeAsync(300);
  relaying.stop();
  const { record } = await startVm(table, { vm: "vm-2" });
  table.rows.clear();
  record.noteReturn(100);
  await vi.advanceTimersByTimeAsync(1_000);
  expect(await record.find(attempt(1))).toEqual(V1);
  await vi.advanceTimersByTimeAsync(60_000);
  expect(record.get(attempt(1))).toBeNull();
});
