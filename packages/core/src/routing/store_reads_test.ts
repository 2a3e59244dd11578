// Guards against endpoints that get requests for too long, or too short, after faults of the store's reads.
import fc from "fast-check";
import { err, ok } from "neverthrow";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SILENT_OBSERVER } from "../common/observe.ts";
import { wait } from "../common/wait.ts";
import { SINGLE_ERA } from "../store/eras.ts";
import { type StoreEra, StoreVersion } from "../store/version.ts";
import { EndpointRegistry } from "./endpoint_registry.ts";
import {
  ANSWER_MARGIN_MS,
  type ChangeBounds,
  DEFAULT_BOUNDS,
  planEndpointReads,
  planTableReads,
} from "./store_reads.ts";
import { type FollowedTable, TableFeed } from "./table_feed.ts";
import { entry, SERVICE } from "./testing/fake_endpoints.ts";
import type { EndpointChange } from "./types.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const ROUND_TRIP_MS = 20;
/** Time that a request needs to reach its endpoint. */
const SEND_MS = 100;
const LEAVING = entry("leaving");
const STAYING = entry("staying");

/** A store whose calls are lost during faults, and a VM that follows it. */
class FollowedStore {
  readonly registry = new EndpointRegistry(SILENT_OBSERVER);
  #changes: EndpointChange[] = [];
  #onChange = new Set<() => void>();
  #silencedAtMs = -Infinity;
  #awayUntilMs = -Infinity;
  #feed: TableFeed<EndpointChange>;

  constructor(random: () => number) {
    this.put(LEAVING.id, LEAVING);
    this.put(STAYING.id, STAYING);
    this.#feed = new TableFeed({
      name: "endpoints",
      table: this.#table(),
      listener: {
        onSnapshot: (changes) => this.#apply(changes),
        onChanges: (changes) => this.#apply(changes),
        onRegained: (reads) => this.registry.noteDirectoryRegained(reads),
      },
      eras: SINGLE_ERA,
      observer: SILENT_OBSERVER,
      random,
      plan: planEndpointReads(DEFAULT_BOUNDS),
      batchMs: 400,
    });
    void this.#feed.start();
  }

  put(id: EndpointChange["id"], value: EndpointChange["entry"]): void {
    this.#changes.push({ id, entry: value });
    for (const notify of this.#onChange) notify();
  }

  /** Calls under way get no answer. */
  silence(): void {
    this.#silencedAtMs = performance.now();
  }

  /** Calls get no answer for a time. */
  cut(durationMs: number): void {
    this.#awayUntilMs = performance.now() + durationMs;
    this.silence();
  }

  isUsed(id: string): boolean {
    return this.registry.usable(SERVICE, null)
      .some((record) => record.entry.id === id);
  }

  stop(): void {
    this.#feed.stop();
  }

  #apply(changes: readonly EndpointChange[]): void {
    for (const change of changes) this.registry.apply(change);
  }

  #table(): FollowedTable<EndpointChange> {
    const version = () => new StoreVersion(this.#changes.length, 1 as StoreEra);
    return {
      readAll: () =>
        Promise.resolve(ok({ items: this.#changes, version: version() })),
      readChanges: async ({ after, waitMs, timeoutMs }) => {
        const startedAtMs = performance.now();
        const from = after.numberIn(1 as StoreEra)!;
        await wait(ROUND_TRIP_MS);
        if (this.#changes.length === from) await this.#nextChange(waitMs);
        const isLost = this.#silencedAtMs >= startedAtMs ||
          this.#awayUntilMs > startedAtMs;
        if (!isLost) {
          return ok({ items: this.#changes.slice(from), version: version() });
        }
        const leftMs = startedAtMs + timeoutMs - performance.now();
        await wait(Math.max(0, leftMs));
        return err({ kind: "unknown", detail: "timeout" } as const);
      },
    };
  }

  #nextChange(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const end = () => {
        this.#onChange.delete(end);
        clearTimeout(timer);
        resolve();
      };
      const timer = setTimeout(end, waitMs);
      this.#onChange.add(end);
    });
  }
}

/** Starts a VM, and waits for some time of its cycle of reads. */
async function startAt(phaseMs: number, random: number) {
  const store = new FollowedStore(() => random);
  await vi.advanceTimersByTimeAsync(5_000 + phaseMs);
  return store;
}

const PHASE_MS = fc.integer({ min: 0, max: 2_200 });
const RANDOM = fc.double({ min: 0, max: 1, noNaN: true, maxExcluded: true });
const { contactMs, drainMs } = DEFAULT_BOUNDS;

test("After connections went silent, an endpoint that leaves gets no requests beyond its time", async () => {
  await fc.assert(
    fc.asyncProperty(
      PHASE_MS,
      RANDOM,
      fc.integer({ min: 0, max: 4_000 }),
      fc.constantFrom("removed", "draining"),
      async (phaseMs, random, leavesAfterMs, how) => {
        const store = await startAt(phaseMs, random);
        store.silence();
        await vi.advanceTimersByTimeAsync(leavesAfterMs);
        store.put(
          LEAVING.id,
          how === "removed" ? null : { ...LEAVING, state: "draining" },
        );
        // The bound applies from `contactMs` after the silence on.
        const boundMs = Math.max(contactMs - leavesAfterMs, 0) + drainMs;
        await vi.advanceTimersByTimeAsync(boundMs - SEND_MS);
        expect(store.isUsed(LEAVING.id)).toBe(false);
        expect(store.isUsed(STAYING.id)).toBe(true);
        store.stop();
      },
    ),
    { seed: 46, numRuns: 200 },
  );
});

test("After a cut, an endpoint that left meanwhile gets no requests once the bounds apply", async () => {
  await fc.assert(
    fc.asyncProperty(
      PHASE_MS,
      RANDOM,
      fc.integer({ min: 2_500, max: 8_000 }),
      async (phaseMs, random, cutMs) => {
        const store = await startAt(phaseMs, random);
        store.cut(cutMs);
        await vi.advanceTimersByTimeAsync(cutMs / 2);
        store.put(LEAVING.id, null);
        await vi.advanceTimersByTimeAsync(cutMs / 2 + contactMs - SEND_MS);
        expect(store.isUsed(LEAVING.id)).toBe(false);
        expect(store.isUsed(STAYING.id)).toBe(true);
        store.stop();
      },
    ),
    { seed: 46, numRuns: 200 },
  );
});

test("Endpoints whose entries expired in an outage and are written again in time are used throughout", async () => {
  await fc.assert(
    fc.asyncProperty(
      PHASE_MS,
      RANDOM,
      fc.integer({ min: 500, max: 8_000 }),
      async (phaseMs, random, outageMs) => {
        const store = await startAt(phaseMs, random);
        store.cut(outageMs);
        await vi.advanceTimersByTimeAsync(outageMs - 1);
        store.put(STAYING.id, null);
        for (let passedMs = 0; passedMs < 2_000; passedMs += 50) {
          await vi.advanceTimersByTimeAsync(50);
          expect(store.isUsed(STAYING.id)).toBe(true);
        }
        store.put(STAYING.id, STAYING);
        for (let passedMs = 0; passedMs < 3_000; passedMs += 50) {
          await vi.advanceTimersByTimeAsync(50);
          expect(store.isUsed(STAYING.id)).toBe(true);
        }
        store.stop();
      },
    ),
    { seed: 46, numRuns: 200 },
  );
});

test("Plans leave time for what follows a read, whatever the platform's bounds are", () => {
  const bound = fc.integer({ min: 4_000, max: 20_000 });
  fc.assert(
    fc.property(bound, bound, (contactMs, drainMs) => {
      const bounds: ChangeBounds = { contactMs, drainMs };
      expect(planTableReads(bounds).waitMs + ANSWER_MARGIN_MS)
        .toBeLessThan(contactMs);
      const { waitMs, retryMs } = planEndpointReads(bounds);
      expect(waitMs + ANSWER_MARGIN_MS + 2_000)
        .toBeLessThan(contactMs + drainMs);
      expect(retryMs + 2_000).toBeLessThan(contactMs);
    }),
    { seed: 46 },
  );
});
