// Compares ways to choose a replica of a plain service, on VMs that share four replicas.
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { chooseEndpoint, minimumBy } from "../queries/choose_endpoint.ts";
import { DATA_CENTRE } from "../testing/fake_endpoints.ts";
import {
  type PlainPolicy,
  PlainPool,
  type PlainPoolOptions,
  quantile,
} from "../testing/plain_pool.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const REPLICAS = { replicas: 4, slots: 6, queue: 24, processingMs: 21 };
/** Rate of all calls in a burst, per second; the replicas can serve about 1,100. */
const BURST_PER_S = 350;
/** Target latency of the calls. */
const TARGET_MS = 145;
const PLAY_MS = 2_000;
const DRAIN_MS = 500;

function chooses(isBalancing: boolean): PlainPolicy {
  return (vm, { tried, random }) => {
    const chosen = chooseEndpoint(vm.records, {
      dataCentre: DATA_CENTRE,
      tried,
      nowMs: performance.now(),
      random,
      isBalancing,
    });
    return chosen && vm.records.indexOf(chosen);
  };
}

function untried(
  { records }: Parameters<PlainPolicy>[0],
  { tried }: Parameters<PlainPolicy>[1],
): number[] {
  return records.flatMap(({ entry }, index) =>
    tried.has(entry.id) ? [] : [index]
  );
}

/** The alternatives that the design note compares. */
const POLICIES: Record<string, PlainPolicy> = {
  "latency only": chooses(false),
  balanced: chooses(true),
  random: (vm, options) => {
    const left = untried(vm, options);
    return left[Math.floor(options.random() * left.length)];
  },
  "two choices": (vm, options) => {
    const left = untried(vm, options);
    const draw = () =>
      left.splice(Math.floor(options.random() * left.length), 1);
    return minimumBy([...draw(), ...draw()], (index) => {
      const { recentSends, inFlight } = vm.records[index]!;
      return recentSends.current() + inFlight;
    });
  },
  "least reported": (vm, options) =>
    minimumBy(
      untried(vm, options),
      (index) => vm.reported.held[index]! + 0.3 * options.random(),
    ),
  "least reported, with own sends": (vm, options) =>
    minimumBy(
      untried(vm, options),
      (index) =>
        vm.reported.held[index]! + vm.records[index]!.inFlight +
        vm.records[index]!.recentSends.current() + 0.3 * options.random(),
    ),
  "random by reported free capacity": (vm, options) => {
    const left = untried(vm, options);
    const free = (index: number) =>
      Math.max(
        1,
        REPLICAS.slots + REPLICAS.queue - vm.reported.held[index]!,
      );
    let at = options.random() *
      left.reduce((sum, index) => sum + free(index), 0);
    return left.find((index) => (at -= free(index)) < 0) ?? left.at(-1);
  },
  // A home that knows every call at once needs two messages for each.
  home: (vm, options) =>
    minimumBy(
      untried(vm, options),
      (index) => options.pool.replicas[index]!.held + 0.3 * options.random(),
    ),
};

async function play(
  policy: string,
  { vms, ratePerS, ...options }:
    & { vms: number; ratePerS: number }
    & Partial<PlainPoolOptions>,
) {
  const pool = new PlainPool(
    { ...REPLICAS, sigma: 0.3, seed: 7, vms, ...options },
    POLICIES[policy]!,
  );
  pool.start(PLAY_MS, () => ratePerS);
  await vi.advanceTimersByTimeAsync(PLAY_MS + DRAIN_MS);
  const { ratios, arrivals, rejected, failed, latenciesMs } = pool;
  const result = {
    ratio: ratios.reduce((sum, ratio) => sum + ratio, 0) / ratios.length,
    rejectedShare: rejected / arrivals,
    failed,
    idleShare: pool.idleSamples / pool.samples,
    p99Ms: quantile(latenciesMs, 0.99),
  };
  return result;
}

test.each([9, 71, 300])(
  "In a burst at %i VMs, no replica is far busier than the mean, none refuses, and answers take no longer than by latency only",
  async (vms) => {
    const load = { vms, ratePerS: BURST_PER_S };
    const before = await play("latency only", load);
    const after = await play("balanced", load);
    expect(after.ratio).toBeLessThan(1.5);
    expect(after.ratio).toBeLessThan(before.ratio + 0.05);
    expect(after.rejectedShare).toBeLessThan(1 / 50);
    expect(after.failed).toBe(0);
    expect(after.p99Ms).toBeLessThan(1.1 * before.p99Ms);
  },
);

test("VMs that all choose the replica with the least reported load overload it, and balancing doesn't", async () => {
  const load = { vms: 71, ratePerS: BURST_PER_S };
  const herding = await play("least reported", load);
  const balanced = await play("balanced", load);
  expect(balanced.ratio).toBeLessThan(herding.ratio);
});

test("A replica whose work takes longer for a while gets fewer calls", async () => {
  const slow = await play("balanced", {
    vms: 9,
    ratePerS: BURST_PER_S,
    slowness: (replica) => replica === 0 ? 5 : 1,
  });
  const random = await play("random", {
    vms: 9,
    ratePerS: BURST_PER_S,
    slowness: (replica) => replica === 0 ? 5 : 1,
  });
  expect(slow.p99Ms).toBeLessThan(random.p99Ms);
});

test("While a replica pauses every 600 ms, answers at burst rate stay within the target", async () => {
  const pauses = (replica: number, nowMs: number) =>
    replica === 0 && Math.floor(nowMs / 600) % 2 === 1 ? 2.5 : 1;
  for (const vms of [9, 71]) {
    const result = await play("balanced", {
      vms,
      ratePerS: BURST_PER_S,
      slowness: pauses,
    });
    expect(result.p99Ms).toBeLessThan(TARGET_MS);
    expect(result.failed).toBe(0);
  }
});
