import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { WINDOW_MS, workspaceOf } from "./testing/credit_world.ts";
import {
  type CreditWorld,
  loadsOf,
  startWorld,
  WORKSPACES,
} from "./testing/uneven_load.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const [LARGEST] = WORKSPACES;
/** All workspaces ask for twice their quotas. */
const OVERLOAD = loadsOf({ share: 2 });
const FAULT_MS = 8_000;
const SIZES = [9, 71];

/** Each fault lasts for {@link FAULT_MS}, and the VMs are connected again after it. */
const FAULTS: Record<string, (world: CreditWorld) => Promise<void>> = {
  "two groups": (world) => divide(world, 2),
  "three groups": (world) => divide(world, 3),
  "VMs that are all alone": (world) => divide(world, world.vms.length),
  "a home that is alone": async (world) => {
    const home = world.homeOf(LARGEST!);
    world.divide((vm) => vm === home ? 1 : 0);
    await world.run(FAULT_MS, OVERLOAD);
  },
  "a frozen home": async (world) => {
    const home = world.homeOf(LARGEST!);
    world.freeze(home);
    await world.run(FAULT_MS / 2, OVERLOAD);
    home.thaw();
    await world.run(FAULT_MS / 2, OVERLOAD);
  },
  "a home that restarts each second": async (world) => {
    for (let leftMs = FAULT_MS; leftMs > 0; leftMs -= 1_000) {
      world.restart(world.homeOf(LARGEST!));
      await world.run(1_000, OVERLOAD);
    }
  },
  "all VMs restarted at once": async (world) => {
    for (const vm of [...world.vms]) world.restart(vm);
    await world.run(FAULT_MS, OVERLOAD);
  },
  "one in ten messages lost": async (world) => {
    world.lossShare = 0.1;
    await world.run(FAULT_MS, OVERLOAD);
    world.lossShare = 0;
  },
};

async function divide(world: CreditWorld, groups: number): Promise<void> {
  world.divide((_vm, index) => index % groups);
  await world.run(FAULT_MS, OVERLOAD);
}

const CASES = SIZES.flatMap((count) =>
  Object.keys(FAULTS).map((name) => [count, name] as const)
);

test.each(CASES)(
  "%i VMs that are asked for too much keep the bound through %s, and use the quota after it",
  async (count, name) => {
    const world = await startWorld(count);
    await world.run(2_000, OVERLOAD);
    await FAULTS[name]!(world);
    world.divide(() => 0);
    await world.run(3_000, OVERLOAD);
    const sinceMs = performance.now();
    await world.run(4_000, OVERLOAD);
    expect(world.worstOf(WORKSPACES)).toBeLessThan(1);
    const earned = LARGEST!.quota!.perSecond * 4;
    expect(world.costSince(LARGEST!, sinceMs)).toBeGreaterThan(0.9 * earned);
  },
);

test("Credit that was saved up before a partition is spent once", async () => {
  const world = await startWorld(71);
  await divide(world, 2);
  expect(world.worstOf(WORKSPACES)).toBeLessThan(1);
});

test("VMs whose home was killed go on within their shares, and count what they refuse", async () => {
  const world = await startWorld(9);
  const load = loadsOf({ share: 0.5 });
  await world.run(2_000, load);
  world.freeze(world.homeOf(LARGEST!));
  const before = world.tally(LARGEST!).runs.length;
  await world.run(1_000, load);
  const run = world.tally(LARGEST!).runs.length - before;
  expect(run).toBeGreaterThan(15);
  expect(world.count("refused")).toBe(0);
});

test("VMs that start and stop as planned cause no refusals below the quota, and break no bound", async () => {
  for (const share of [0.5, 2]) {
    const world = await startWorld(20);
    const load = loadsOf({ share });
    await world.run(2_000, load);
    for (let count = 0; count < 6; count += 1) {
      world.leave(world.homeOf(WORKSPACES[count]!));
      await world.run(1_500, load);
      world.join(`new-${count}`);
      await world.run(1_500, load);
    }
    expect(world.worstOf(WORKSPACES)).toBeLessThan(1);
    if (share > 1) continue;
    for (const workspace of WORKSPACES) {
      const { refused, overQuota } = world.tally(workspace);
      expect(refused, workspace.id).toBeLessThanOrEqual(overQuota);
    }
  }
});

test("A home of the previous build leaves each VM its own share", async () => {
  const world = await startWorld(9);
  for (const vm of world.vms) vm.isOld = true;
  const sinceMs = performance.now();
  await world.run(10_000, OVERLOAD);
  expect(world.worstOf(WORKSPACES)).toBeLessThan(1);
  const earned = LARGEST!.quota!.perSecond * 10;
  expect(world.costSince(LARGEST!, sinceMs)).toBeGreaterThan(0.8 * earned);
});

test("A lowered limit is binding one window after all VMs have it", async () => {
  const world = await startWorld(9);
  await world.run(4_000, OVERLOAD);
  const lowered = WORKSPACES.map(({ id }) =>
    workspaceOf(id, { perSecond: 8_000 })
  );
  // The VMs get the table in turn.
  for (const vm of world.vms) {
    world.setWorkspaces(lowered, [vm]);
    await world.run(300, OVERLOAD);
  }
  const sinceMs = performance.now() + WINDOW_MS;
  await world.run(3 * WINDOW_MS, OVERLOAD);
  expect(world.worstOf(lowered, sinceMs)).toBeLessThan(1);
});
