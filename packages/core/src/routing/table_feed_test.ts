import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../common/observe.ts";
import { wait } from "../common/wait.ts";
import { EraTracker, SINGLE_ERA, type StoreEras } from "../store/eras.ts";
import { type StoreEra, StoreVersion } from "../store/version.ts";
import { DEFAULT_BOUNDS, planEndpointReads } from "./store_reads.ts";
import { type FollowedTable, TableFeed } from "./table_feed.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const LOST = { kind: "unknown", detail: "lost" } as const;

function version(number: number, era = 1): StoreVersion {
  return new StoreVersion(number, era as StoreEra);
}

function createFeed(
  table: FollowedTable<string>,
  eras: StoreEras = SINGLE_ERA,
) {
  const seen: string[] = [];
  const logged: string[] = [];
  const feed = new TableFeed({
    name: "t",
    table,
    listener: {
      onSnapshot: (items) => seen.push(`all ${items}`),
      onChanges: (items) => seen.push(`changes ${items}`),
      onRegained: () => seen.push("back"),
      onReturn: () => seen.push("return"),
    },
    eras,
    observer: {
      ...SILENT_OBSERVER,
      log: ({ event }) => void logged.push(event),
    },
    random: () => 0.5,
    plan: planEndpointReads(DEFAULT_BOUNDS),
  });
  return { feed, seen, logged };
}

/** Never answers, like a store without changes. */
function quiet(): Promise<never> {
  return new Promise(() => {});
}

test("Each call reads the changes after the version of the last one", async () => {
  const afters: string[] = [];
  const { feed, seen } = createFeed({
    readAll: () => Promise.resolve(ok({ items: ["a"], version: version(7) })),
    readChanges({ after }) {
      afters.push(String(after));
      return afters.length > 2 ? quiet() : Promise.resolve(
        ok({ items: ["b"], version: version(7 + afters.length) }),
      );
    },
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(100);
  expect(afters).toEqual(["1.7", "1.8", "1.9"]);
  expect(seen).toEqual(["all a", "changes b", "changes b"]);
  feed.stop();
});

test.each([
  ["expired history", ok("expired" as const)],
  ["a version that went back", ok({ items: [], version: version(3) })],
  [
    "a higher version of another era",
    ok({ items: [], version: version(9, 2) }),
  ],
])("After %s the whole table is read again", async (_name, answer) => {
  let reads = 0;
  let calls = 0;
  const { feed, seen } = createFeed({
    readAll() {
      reads += 1;
      return Promise.resolve(ok({ items: [`r${reads}`], version: version(7) }));
    },
    readChanges() {
      calls += 1;
      return calls === 1 ? Promise.resolve(answer) : quiet();
    },
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(100);
  expect(seen).toEqual(["all r1", "all r2"]);
  feed.stop();
});

test("Failed calls are retried with delays, and the loss is reported once", async () => {
  let calls = 0;
  const { feed, seen, logged } = createFeed({
    readAll: () => Promise.resolve(ok({ items: [], version: version(1) })),
    readChanges({ after, waitMs }) {
      calls += 1;
      if (calls <= 5) return Promise.resolve(err(LOST));
      return waitMs > 0
        ? quiet()
        : Promise.resolve(ok({ items: [], version: after }));
    },
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(400);
  expect(calls).toBeLessThan(5);
  await vi.advanceTimersByTimeAsync(5_000);
  expect(calls).toBe(7);
  expect(seen).toEqual(["all ", "back"]);
  expect(logged.filter((event) => event === "store-lost")).toHaveLength(1);
  feed.stop();
});

test("While calls fail, the next one begins although the one before has not ended", async () => {
  const startedAtMs: number[] = [];
  const { feed } = createFeed({
    readAll: () => Promise.resolve(ok({ items: [], version: version(1) })),
    async readChanges({ timeoutMs }) {
      startedAtMs.push(performance.now());
      await wait(timeoutMs);
      return err(LOST);
    },
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(10_000);
  feed.stop();
  const gapsMs = startedAtMs.slice(2).map((atMs, index) =>
    atMs - startedAtMs[index + 1]!
  );
  expect(Math.max(...gapsMs)).toBeLessThanOrEqual(
    planEndpointReads(DEFAULT_BOUNDS).retryMs,
  );
});

test("After a stall of the process, changes are read without waiting for the call under way", async () => {
  const waits: number[] = [];
  const { feed, seen } = createFeed({
    readAll: () => Promise.resolve(ok({ items: [], version: version(1) })),
    readChanges({ after, waitMs }) {
      waits.push(waitMs);
      return waitMs > 0
        ? quiet()
        : Promise.resolve(ok({ items: ["b"], version: after }));
    },
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(100);
  feed.hurry();
  await vi.advanceTimersByTimeAsync(100);
  expect(waits.map((waitMs) => waitMs > 0)).toEqual([true, false, true]);
  expect(seen).toEqual(["all ", "changes b"]);
  feed.stop();
});

test("A process that stalls again and again still reads what has changed", async () => {
  let reads = 0;
  const { feed, seen } = createFeed({
    async readAll() {
      reads += 1;
      await wait(300);
      return ok({ items: ["a"], version: version(1) });
    },
    async readChanges({ waitMs }) {
      await wait(waitMs > 0 ? 60_000 : 300);
      return ok({ items: ["b"], version: version(2) });
    },
  });
  void feed.start();
  for (let stall = 0; stall < 20; stall += 1) {
    await vi.advanceTimersByTimeAsync(100);
    feed.hurry();
  }
  expect(reads).toBe(1);
  expect(seen.slice(0, 2)).toEqual(["all a", "changes b"]);
  feed.stop();
});

test("After a failure a call doesn't wait for changes, so that recovery is noticed at once", async () => {
  const waits: number[] = [];
  const { feed, seen } = createFeed({
    readAll: () => Promise.resolve(ok({ items: [], version: version(1) })),
    readChanges({ after, waitMs }) {
      waits.push(waitMs);
      if (waits.length === 1) return Promise.resolve(err(LOST));
      // Nothing has changed, so a call that waits gets no answer yet.
      return waitMs === 0
        ? Promise.resolve(ok({ items: [], version: after }))
        : quiet();
    },
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(seen).toEqual(["all ", "back"]);
  expect(waits[1]).toBe(0);
  expect(waits[2]).toBeGreaterThan(0);
  feed.stop();
});

test("Recovery is reported before the rows that were read", async () => {
  let fails = true;
  const { feed, seen } = createFeed({
    readAll: () =>
      Promise.resolve(
        fails ? err(LOST) : ok({ items: ["a"], version: version(1) }),
      ),
    readChanges: quiet,
  });
  void feed.start();
  await vi.advanceTimersByTimeAsync(50);
  fails = false;
  await vi.advanceTimersByTimeAsync(2_000);
  expect(seen).toEqual(["back", "all a"]);
  feed.stop();
});

test("A return of the store is followed by a whole read, although a call still waits for changes", async () => {
  const eras = new EraTracker(SILENT_OBSERVER);
  eras.note(1 as StoreEra);
  const reads = [version(7, 1), version(9, 2)];
  const { feed, seen } = createFeed({
    readAll: () =>
      Promise.resolve(ok({ items: ["a"], version: reads.shift()! })),
    readChanges: quiet,
  }, eras);
  void feed.start();
  await vi.advanceTimersByTimeAsync(100);
  eras.note(2 as StoreEra);
  await vi.advanceTimersByTimeAsync(100);
  expect(seen).toEqual(["all a", "return", "all a"]);
  feed.stop();
});

test("A read that began before the store came back is dropped when it ends after that", async () => {
  const eras = new EraTracker(SILENT_OBSERVER);
  eras.note(1 as StoreEra);
  let endFirst = () => {};
  let reads = 0;
  const { feed, seen } = createFeed({
    async readAll() {
      reads += 1;
      if (reads > 1) return ok({ items: ["new"], version: version(3, 2) });
      await new Promise<void>((resolve) => (endFirst = resolve));
      return ok({ items: ["old"], version: version(9, 1) });
    },
    readChanges: quiet,
  }, eras);
  void feed.start();
  await vi.advanceTimersByTimeAsync(10);
  eras.note(2 as StoreEra);
  await vi.advanceTimersByTimeAsync(10);
  endFirst();
  await vi.advanceTimersByTimeAsync(1_000);
  expect(seen).toEqual(["return", "all new"]);
  expect(reads).toBe(2);
  feed.stop();
});

// Guards against a table that counts as newer than the read that showed it.
test("A table is as of the start of its read, or as of the end of a wait without a change", async () => {
  const { waitMs } = planEndpointReads(DEFAULT_BOUNDS);
  let answer: "held" | "changed" | "lost" = "held";
  /** Start of the last call for changes. */
  let startedAtMs = Infinity;
  const { feed } = createFeed({
    readAll: async () => {
      await wait(100);
      return ok({ items: ["a"], version: version(7) });
    },
    readChanges: async (options) => {
      startedAtMs = performance.now();
      const items = answer === "changed" ? ["b"] : [];
      await wait(answer === "held" ? options.waitMs + 100 : 50);
      return answer === "lost" ? err(LOST) : ok({ items, version: version(7) });
    },
  });
  expect(feed.asOfMs).toBe(-Infinity);
  const beganAtMs = performance.now();
  void feed.start();
  await vi.advanceTimersByTimeAsync(110);
  expect(feed.asOfMs).toBe(beganAtMs);
  const waitedFromMs = startedAtMs;
  await vi.advanceTimersByTimeAsync(waitMs + 100);
  expect(feed.asOfMs).toBe(waitedFromMs + waitMs);
  answer = "changed";
  feed.hurry();
  await vi.advanceTimersByTimeAsync(10);
  const hurriedAtMs = startedAtMs;
  await vi.advanceTimersByTimeAsync(45);
  expect(feed.asOfMs).toBe(hurriedAtMs);
  answer = "lost";
  await vi.advanceTimersByTimeAsync(10_000);
  const readAtMs = feed.asOfMs;
  expect(readAtMs).toBeLessThanOrEqual(hurriedAtMs + 100);
  feed.stop();
});
