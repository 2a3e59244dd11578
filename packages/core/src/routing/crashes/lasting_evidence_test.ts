// Guards against the loss of all VMs at once: the evidence was in their memory only, so
// that a part which crashes endpoints crashed as many again after each loss.
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import { entry, request } from "../testing/fake_endpoints.ts";
import type { EndpointIncarnation, RoutedRequest } from "../types.ts";
import {
  type CrashRow,
  type CrashTable,
  LastingEvidence,
} from "./lasting_evidence.ts";
import { CrashTracker } from "./tracker.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const STORE_CLOCK_MS = 1_000_000;
/** Time in which changes are written. */
const WRITTEN_MS = 500;

/** Rows in memory, which can't be reached while `isAway` is set. */
class FakeTable implements CrashTable {
  readonly rows = new Map<EndpointIncarnation, CrashRow>();
  readonly written: number[] = [];
  isAway = false;
  reads = 0;

  readAll() {
    this.reads += 1;
    if (this.isAway) return Promise.resolve(this.#failure());
    const storeTimeMs = performance.now() + STORE_CLOCK_MS;
    return Promise.resolve(ok({ storeTimeMs, rows: [...this.rows.values()] }));
  }

  write(
    rows: readonly CrashRow[],
    { deleted }: { deleted: readonly EndpointIncarnation[] },
  ) {
    this.written.push(rows.length);
    if (this.isAway) return Promise.resolve(this.#failure());
    for (const row of rows) this.rows.set(row.endpoint, row);
    for (const endpoint of deleted) this.rows.delete(endpoint);
    return Promise.resolve(ok(undefined));
  }

  #failure() {
    return err({ kind: "notSent" as const, detail: "away" });
  }
}

async function startVm(
  table: CrashTable,
  { isHome = () => true }: { isHome?: () => boolean } = {},
) {
  const tracker: CrashTracker = new CrashTracker({
    onChange: () => lasting.noteChange(),
  });
  const lasting = new LastingEvidence({
    table,
    evidence: () => tracker.evidence,
    addReports: (reports) => tracker.addReports(reports),
    isHome,
    observer: SILENT_OBSERVER,
  });
  lasting.start();
  await vi.advanceTimersByTimeAsync(10);
  return { tracker, lasting };
}

let requestCount = 0;

/** A request like no other, with the given parts before its own. */
function promptWith(...parts: string[]): RoutedRequest {
  requestCount += 1;
  return request({
    target: `/a/${requestCount}`,
    prompt: {
      model: "m",
      promptTokens: 100,
      maxOutputTokens: 10,
      expectedOutputTokens: null,
      parts: [...parts, `own-${requestCount}`].map((id) => ({
        id,
        tokens: 10,
      })),
    },
  });
}

let crashCount = 0;

/** Crashes one endpoint after the other, each under a request with the part. */
function crash(tracker: CrashTracker, count: number, part = "bad") {
  return Array.from({ length: count }, () => {
    crashCount += 1;
    const endpoint = entry(`e${crashCount}`);
    tracker.noteLost(promptWith(part), endpoint);
    tracker.noteEnd(endpoint);
    vi.advanceTimersByTime(1);
    return endpoint;
  });
}

function isQuarantined(tracker: CrashTracker, part = "bad"): boolean {
  return tracker.refusalOf(promptWith(part)) !== null;
}

test("A VM that starts after all others have ended refuses what they had found", async () => {
  const table = new FakeTable();
  const { tracker, lasting } = await startVm(table);
  crash(tracker, 3);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  lasting.stop();
  const { tracker: later } = await startVm(table);
  expect(isQuarantined(later)).toBe(true);
  expect(isQuarantined(later, "sound")).toBe(false);
});

test("A part that one more crash would have blamed is blamed after one more crash", async () => {
  const table = new FakeTable();
  const { tracker, lasting } = await startVm(table);
  crash(tracker, 2);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  lasting.stop();
  const { tracker: later } = await startVm(table);
  expect(isQuarantined(later)).toBe(false);
  crash(later, 1);
  expect(isQuarantined(later)).toBe(true);
});

test("The store is called once at the start and once for a change of close evidence, not for requests or other crashes", async () => {
  const table = new FakeTable();
  const { tracker } = await startVm(table);
  crash(tracker, 1);
  crash(tracker, 1, "other");
  await vi.advanceTimersByTimeAsync(60_000);
  expect([table.reads, table.written.length]).toEqual([1, 0]);
  crash(tracker, 1);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.written).toEqual([2]);
  for (let count = 0; count < 1_000; count += 1) {
    tracker.noteAnswered(promptWith("sound"));
    isQuarantined(tracker);
    await vi.advanceTimersByTimeAsync(10);
  }
  expect([table.reads, table.written.length]).toEqual([1, 1]);
});

test("Only the home writes, and a VM that becomes home writes what is not known to be stored", async () => {
  const table = new FakeTable();
  let isHome = false;
  const { tracker, lasting } = await startVm(table, { isHome: () => isHome });
  crash(tracker, 3);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(0);
  isHome = true;
  lasting.noteChange();
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(3);
});

test("Many crashes are written in parts", async () => {
  const table = new FakeTable();
  const { tracker } = await startVm(table);
  crash(tracker, 10);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(10);
  expect(Math.max(...table.written)).toBeLessThanOrEqual(4);
});

test("Evidence is read and written when the store is back", async () => {
  const table = new FakeTable();
  const first = await startVm(table);
  table.isAway = true;
  crash(first.tracker, 3);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(0);
  table.isAway = false;
  await vi.advanceTimersByTimeAsync(1_500);
  expect(table.rows.size).toBe(3);
  first.lasting.stop();
  table.isAway = true;
  const { tracker: later } = await startVm(table);
  expect(isQuarantined(later)).toBe(false);
  table.isAway = false;
  await vi.advanceTimersByTimeAsync(1_500);
  expect(isQuarantined(later)).toBe(true);
});

test("A store that came back from an earlier copy gets the evidence again", async () => {
  const table = new FakeTable();
  const { tracker, lasting } = await startVm(table);
  crash(tracker, 3);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  table.rows.clear();
  lasting.noteReturn(300);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(3);
});

test("Rows of refuted, cleared and expired crashes are deleted", async () => {
  const table = new FakeTable();
  const { tracker, lasting } = await startVm(table);
  const endpoints = crash(tracker, 3);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  for (const endpoint of endpoints.slice(0, 2)) {
    tracker.noteRunning(endpoint, { sentAtMs: performance.now() });
  }
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(0);
  crash(tracker, 2);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(3);
  tracker.noteAnswered(promptWith("bad"));
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(table.rows.size).toBe(0);
  crash(tracker, 3, "worse");
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  lasting.stop();
  await vi.advanceTimersByTimeAsync(31 * 60_000);
  const { tracker: later } = await startVm(table);
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  expect(isQuarantined(later, "worse")).toBe(false);
  expect(table.rows.size).toBe(0);
});

test("Stored evidence keeps the age of its crashes, and what was answered before them", async () => {
  const table = new FakeTable();
  const { tracker, lasting } = await startVm(table);
  tracker.noteAnswered(promptWith("shared"));
  await vi.advanceTimersByTimeAsync(10);
  const [first] = crash(tracker, 4, "shared");
  await vi.advanceTimersByTimeAsync(WRITTEN_MS);
  lasting.stop();
  await vi.advanceTimersByTimeAsync(5_000);
  const { tracker: later } = await startVm(table);
  expect(isQuarantined(later, "shared")).toBe(false);
  const { atMs } = later.evidence.get(
    `${first!.id} ${first!.bornAtMs}` as EndpointIncarnation,
  )!;
  const ageMs = performance.now() - atMs;
  expect(ageMs).toBeGreaterThan(5_000 + WRITTEN_MS);
  expect(ageMs).toBeLessThan(6_000);
});
