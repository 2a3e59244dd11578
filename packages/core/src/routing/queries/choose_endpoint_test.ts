import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { EndpointRecord } from "../endpoint_record.ts";
import { createRandom } from "../testing/engine_pool.ts";
import { DATA_CENTRE, entry } from "../testing/fake_endpoints.ts";
import { chooseEndpoint } from "./choose_endpoint.ts";

/** Seeds of the random numbers that each test is played with. */
const SEEDS = [1, 81, 146, 150, 177, 194, 200, 367, 369, 388];

/** Each test holds with balancing as well as without. */
const MODES = [["balancing", true], ["by latency only", false]] as const;

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

/** Sends a request every 20 ms, and returns how many each endpoint got. */
async function sendFor(
  durationMs: number,
  { records, latencyMs, random, isBalancing }: {
    records: readonly EndpointRecord[];
    latencyMs: (id: string) => number;
    random: () => number;
    isBalancing: boolean;
  },
): Promise<Record<string, number>> {
  const counts: Record<string, number> = {};
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 20) {
    const chosen = chooseEndpoint(records, {
      dataCentre: DATA_CENTRE,
      tried: new Set(),
      nowMs: performance.now(),
      random,
      isBalancing,
    })!;
    chosen.recentSends.add();
    const { id } = chosen.entry;
    counts[id] = (counts[id] ?? 0) + 1;
    chosen.noteSuccess(latencyMs(id));
    await vi.advanceTimersByTimeAsync(20);
  }
  return counts;
}

test.each(MODES)(
  "%s: An endpoint that was slow once gets requests again, and one that stays slow gets few",
  async (_name, isBalancing) => {
    for (const seed of SEEDS) {
      const random = createRandom(seed);
      const records = ["a", "b", "c"].map((id) =>
        new EndpointRecord(entry(id))
      );
      records[0]!.noteSuccess(80);
      for (const record of records.slice(1)) record.noteSuccess(2);
      const early = await sendFor(1_500, {
        records,
        latencyMs: () => 2,
        random,
        isBalancing,
      });
      expect(early["a"] ?? 0).toBe(0);
      // Its average is stale then, and begins anew with the next answer.
      await sendFor(60_000, {
        records,
        latencyMs: () => 2,
        random,
        isBalancing,
      });
      const late = await sendFor(2_000, {
        records,
        latencyMs: () => 2,
        random,
        isBalancing,
      });
      for (const id of ["a", "b", "c"]) {
        expect(late[id], `seed ${seed}`).toBeGreaterThan(10);
      }
      const slow = await sendFor(20_000, {
        records,
        latencyMs: (id) => id === "a" ? 80 : 2,
        random,
        isBalancing,
      });
      expect(slow["a"]).toBeLessThan(0.03 * 20_000 / 20);
    }
  },
);

test.each(MODES)(
  "%s: A new endpoint gets requests beside others that differ in speed",
  async (_name, isBalancing) => {
    const records = ["a", "b", "c"].map((id) => new EndpointRecord(entry(id)));
    const latencyMs = (id: string) => id === "c" ? 4 : 2;
    const random = createRandom(1);
    records[1]!.noteSuccess(2);
    records[2]!.noteSuccess(4);
    const counts = await sendFor(1_000, {
      records,
      latencyMs,
      random,
      isBalancing,
    });
    expect(counts["a"]).toBeGreaterThan(5);
  },
);

test.each(MODES)(
  "%s: An endpoint whose first answer after a pause is slow gets requests within two seconds",
  async (_name, isBalancing) => {
    for (const seed of SEEDS) {
      const records = ["a", "b", "c"].map((id) =>
        new EndpointRecord(entry(id))
      );
      for (const record of records.slice(1)) record.noteSuccess(2);
      records[0]!.noteLimited(performance.now() + 3_000);
      const random = createRandom(seed);
      const during = await sendFor(3_000, {
        records,
        latencyMs: () => 2,
        random,
        isBalancing,
      });
      expect(during["a"] ?? 0).toBe(0);
      expect(records[0]!.latencyMs).toBeNull();
      records[0]!.noteSuccess(30);
      const after = await sendFor(2_000, {
        records,
        latencyMs: () => 2,
        random,
        isBalancing,
      });
      expect(after["a"], `seed ${seed}`).toBeGreaterThan(0);
    }
  },
);

test.each(MODES)(
  "%s: An endpoint that served alone under load gets requests soon after others are back",
  async (_name, isBalancing) => {
    for (const seed of SEEDS) {
      const records = ["a", "b", "c"].map((id) =>
        new EndpointRecord(entry(id))
      );
      records[2]!.noteSuccess(6);
      for (const record of records.slice(0, 2)) record.noteSuccess(2);
      const random = createRandom(seed);
      const counts = await sendFor(2_000, {
        records,
        latencyMs: () => 2,
        random,
        isBalancing,
      });
      expect(counts["c"], `seed ${seed}`).toBeGreaterThan(0);
    }
  },
);
