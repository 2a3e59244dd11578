import { err, ok, type Result } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import type {
  Row,
  RowWrite,
  StoreFailure,
  TransactionOutcome,
} from "../../ports/platform.ts";
import { asId } from "../../common/ids.ts";
import { SILENT_OBSERVER } from "../../common/observe.ts";
import type { VmContext } from "../../vm/types.ts";
import { CALL_POLICIES } from "../policies.ts";
import { StoreVersion } from "../../store/version.ts";
import type { CallRow } from "../types.ts";
import { ClaimStore, type WriteOutcome } from "./claim_store.ts";

const COMMIT_MS = 4;

let rows: Map<string, Row>;
let commits: string[][];
/** Faults of the next commits, in order; later commits succeed. */
let faults: ("lost reply" | "not sent")[];
let availability: boolean[];
let store: ClaimStore;

beforeEach(() => {
  vi.useFakeTimers();
  rows = new Map();
  commits = [];
  faults = [];
  availability = [];
  const platform = { transact, read: () => Promise.resolve(ok(null)) };
  store = new ClaimStore({
    ports: { platform },
    observer: SILENT_OBSERVER,
    random: () => 0,
  } as unknown as VmContext, {
    policies: CALL_POLICIES,
    liveVms: () => 1,
    onAvailabilityChange: (available) => availability.push(available),
  });
});

afterEach(() => {
  store.stop();
  vi.useRealTimers();
});

async function transact(
  writes: readonly RowWrite[],
): Promise<Result<TransactionOutcome, StoreFailure>> {
  const fault = faults.shift();
  commits.push(writes.map((write) => write.key));
  await new Promise((resolve) => setTimeout(resolve, COMMIT_MS));
  if (fault === "not sent") return err({ kind: "notSent", detail: "" });
  const conflicts = writes.flatMap((write, index) => {
    const row = rows.get(write.key) ?? null;
    const isExpected = write.expect.kind !== "absent" || row === null;
    return isExpected ? [] : [{ index, row }];
  });
  if (conflicts.length === 0) {
    for (const { table, key, value } of writes) {
      rows.set(key, { table, key, version: new StoreVersion(1), value });
    }
  }
  if (fault === "lost reply") return err({ kind: "unknown", detail: "" });
  return ok(
    conflicts.length > 0
      ? { kind: "conflict", conflicts }
      : { kind: "committed" },
  );
}

function claim(key: string, token = `${key}-token`) {
  const row = { key: asId(key), writeToken: token } as CallRow;
  return store.write({ row, expect: { kind: "absent" }, urgent: true });
}

async function outcomesAfter(ms: number, outcomes: Promise<WriteOutcome>[]) {
  await vi.advanceTimersByTimeAsync(ms);
  return (await Promise.all(outcomes)).map((outcome) => outcome.kind);
}

test("Writes queued while a commit is in progress go into the next one", async () => {
  const outcomes = ["a", "b", "c", "d"].map((key) => claim(key).outcome);
  expect(await outcomesAfter(20, outcomes)).toEqual(Array(4).fill("written"));
  expect(commits).toEqual([["a"], ["b", "c", "d"]]);
});

test("A conflict on one row doesn't fail the other rows of the batch", async () => {
  rows.set("b", {
    table: "calls",
    key: "b",
    version: new StoreVersion(1),
    value: {},
  });
  const outcomes = ["a", "b", "c"].map((key) => claim(key).outcome);
  expect(await outcomesAfter(100, outcomes)).toEqual([
    "written",
    "conflict",
    "written",
  ]);
});

test("A retry after a lost reply keeps its token, so that the row it conflicts with is recognised as its own", async () => {
  faults = ["lost reply", "lost reply"];
  expect(await outcomesAfter(5_000, [claim("a").outcome])).toEqual(["written"]);
  expect(commits).toEqual([["a"], ["a"], ["a"]]);
});

test("New writes wait until writes with an uncertain outcome are settled", async () => {
  faults = ["lost reply"];
  const outcomes = [claim("a").outcome, claim("b").outcome];
  expect(await outcomesAfter(500, outcomes)).toEqual(["written", "written"]);
  expect(commits).toEqual([["a"], ["a"], ["b"]]);
});

test("A queued write can be withdrawn, but not one that may have been written", async () => {
  faults = ["lost reply"];
  const [uncertain, queued] = [claim("a"), claim("b")];
  await vi.advanceTimersByTimeAsync(COMMIT_MS + 1);
  uncertain.withdraw();
  queued.withdraw();
  expect(await outcomesAfter(500, [uncertain.outcome, queued.outcome]))
    .toEqual(["written", "withdrawn"]);
});

test("The store is unavailable after two failures and available after one success", async () => {
  faults = ["not sent", "not sent"];
  const { outcome } = claim("a");
  await vi.advanceTimersByTimeAsync(300);
  expect(store.available).toBe(false);
  expect(await outcomesAfter(2_000, [outcome])).toEqual(["written"]);
  expect(availability).toEqual([false, true]);
});

test("With an empty queue, a read detects that the store is available again", async () => {
  faults = ["not sent", "not sent"];
  const { withdraw } = claim("a");
  await vi.advanceTimersByTimeAsync(300);
  withdraw();
  await vi.advanceTimersByTimeAsync(2_000);
  expect(availability).toEqual([false, true]);
});
