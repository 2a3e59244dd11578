import { afterEach, beforeEach, expect, test, vi } from "vitest";
import {
  type CreditWorld,
  loadsOf,
  startWorld,
  WORKSPACES,
} from "./testing/uneven_load.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const SIZES = [9, 71, 300];
const RUN_S = 12;
const [LARGEST, ...OTHERS] = WORKSPACES;
const LOADED = { share: 0.5 };
/** The largest workspace asks for 3.75 times its quota. */
const FLOODED = { ...LOADED, factor: 7.5 };

function expectNoneBelowQuota(
  world: CreditWorld,
  workspaces: readonly (typeof WORKSPACES)[number][],
): void {
  for (const workspace of workspaces) {
    const { refused, overQuota } = world.tally(workspace);
    expect(refused, workspace.id).toBeLessThanOrEqual(overQuota);
  }
}

test.each(SIZES)(
  "%i VMs refuse nothing while each workspace asks for less than its quota",
  async (count) => {
    const world = await startWorld(count);
    const before = world.messages;
    await world.run(RUN_S * 1_000, loadsOf(LOADED));
    expectNoneBelowQuota(world, WORKSPACES);
    expect(world.count("refused-by-failure")).toBe(0);
    // One message for each request at most: 2 per second and VM where there are 71.
    const offered = WORKSPACES.map((each) => world.tally(each).offered)
      .reduce((sum, each) => sum + each, 0);
    expect(world.messages - before).toBeLessThanOrEqual(offered);
  },
);

test.each(SIZES)(
  "%i VMs admit the quota, and no more, of a workspace at 7.5 times its load, and refuse no other one",
  async (count) => {
    const world = await startWorld(count);
    const before = world.messages;
    const sinceMs = performance.now();
    await world.run(RUN_S * 1_000, loadsOf(FLOODED));
    const earned = LARGEST!.quota!.perSecond * RUN_S + LARGEST!.quota!.burst;
    expect(world.costSince(LARGEST!, sinceMs)).toBeGreaterThan(0.9 * earned);
    expect(world.worstOf(WORKSPACES)).toBeLessThan(1);
    expectNoneBelowQuota(world, OTHERS);
    // VMs that are refused credit pause, so that a flood costs few messages.
    const perSecond = (world.messages - before) / RUN_S;
    const offered = world.tally(LARGEST!).offered / RUN_S;
    expect(perSecond).toBeLessThan(Math.max(1.2 * offered, 320));
  },
);

test("No VM sends a message while no request arrives", async () => {
  const world = await startWorld(9);
  await world.run(1_000, loadsOf(LOADED));
  await world.run(100, []);
  const before = world.messages;
  await world.run(10_000, []);
  expect(world.messages).toBe(before);
});

test("The charge of requests that did not run goes to others", async () => {
  const world = await startWorld(9);
  const sinceMs = performance.now();
  const loads = loadsOf({ share: 1.5, notRunShare: 0.4 });
  await world.run(RUN_S * 1_000, loads);
  for (const workspace of WORKSPACES.slice(0, 4)) {
    const { perSecond } = workspace.quota!;
    // Of 1.5 times the quota 0.9 run, if none of the others is charged.
    const cost = world.costSince(workspace, sinceMs);
    expect(cost, workspace.id).toBeGreaterThan(0.8 * perSecond * RUN_S);
  }
  expect(world.worstOf(WORKSPACES)).toBeLessThan(1);
});

test("A small request that waits behind a large one is not drawn for without a pause", async () => {
  const world = await startWorld(1);
  const workspace = LARGEST!;
  const signal = new AbortController().signal;
  const admit = (tokens: number) =>
    world.vms[0]!.task.admit({
      workspace,
      tokens,
      waitMs: 1_000,
      signal,
    });
  const { perSecond } = workspace.quota!;
  const asked = [admit(0.9 * perSecond), admit(0.65 * perSecond)];
  asked.push(admit(10));
  await vi.advanceTimersByTimeAsync(2_000);
  expect((await Promise.all(asked)).some((each) => each.isOk())).toBe(true);
});

test("A refused request is admitted if it comes back at the time that it was told", async () => {
  const world = await startWorld(9);
  const [load] = loadsOf({ share: 1 });
  const vm = world.vms[0]!;
  const ask = () =>
    vm.task.admit({
      workspace: load!.workspace,
      tokens: 8_000,
      waitMs: 0,
      signal: new AbortController().signal,
    });
  let refusals = 0;
  for (let count = 0; count < 200; count += 1) {
    const asked = ask();
    await vi.advanceTimersByTimeAsync(5);
    const first = await asked;
    if (first.isOk()) continue;
    refusals += 1;
    await vi.advanceTimersByTimeAsync(first.error.retryAfterMs);
    const again = ask();
    await vi.advanceTimersByTimeAsync(5);
    expect((await again).isOk()).toBe(true);
  }
  expect(refusals).toBeGreaterThan(20);
});
