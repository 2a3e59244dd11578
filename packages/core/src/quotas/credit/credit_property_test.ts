import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { workspaceOf } from "./testing/credit_world.ts";
import {
  type CreditWorld,
  loadsOf,
  startWorld,
} from "./testing/uneven_load.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const RUNS = 40;
/** Tokens of the requests; few large ones take less time to simulate. */
const MEAN_TOKENS = 6_000;

const vmIndex = fc.nat({ max: 999 });
const event = fc.oneof(
  fc.record({
    kind: fc.constant("divide" as const),
    groups: fc.integer({ min: 1, max: 12 }),
  }),
  fc.record({ kind: fc.constant("freeze" as const), vm: vmIndex }),
  fc.record({ kind: fc.constant("restart" as const), vm: vmIndex }),
  fc.record({ kind: fc.constant("leave" as const), vm: vmIndex }),
  fc.record({
    kind: fc.constant("lose" as const),
    share: fc.constantFrom(0, 0.1, 0.3),
  }),
  fc.record({
    kind: fc.constantFrom("thaw", "restart-all", "join", "none"),
  }),
);

/** One thing that happens, and what is asked for until the next one. */
const step = fc.record({
  forMs: fc.integer({ min: 50, max: 2_000 }),
  share: fc.constantFrom(0, 0.5, 3),
  event,
});

type Event = typeof event extends fc.Arbitrary<infer T> ? T : never;

function apply(world: CreditWorld, happened: Event): void {
  const vmOf = (index: number) => world.vms[index % world.vms.length]!;
  if ("groups" in happened) {
    world.divide((_vm, index) => index % happened.groups);
  } else if ("share" in happened) world.lossShare = happened.share;
  else if ("vm" in happened) {
    const vm = vmOf(happened.vm);
    if (happened.kind === "freeze") world.freeze(vm);
    else if (happened.kind === "restart") world.restart(vm);
    else if (world.vms.filter((each) => !each.isLeaving).length > 1) {
      world.leave(vm);
    }
  } else if (happened.kind === "thaw") {
    for (const vm of world.vms) if (vm.frozen) vm.thaw();
  } else if (happened.kind === "restart-all") {
    for (const vm of [...world.vms]) world.restart(vm);
  } else if (happened.kind === "join") world.join(`new-${world.vms.length}`);
}

test("No order of faults and planned changes breaks the bound in any window of 8 s", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(3, 9, 20),
      fc.nat(),
      fc.array(step, { minLength: 3, maxLength: 8 }),
      async (count, seed, steps) => {
        const workspaces = [246_211, 48_000].map((perSecond, index) =>
          workspaceOf(`p${seed}-${index}`, { perSecond })
        );
        const loads = (share: number) =>
          loadsOf({ share, workspaces, meanTokens: MEAN_TOKENS });
        const world = await startWorld(count, { workspaces, seed });
        for (const { event, forMs, share } of steps) {
          apply(world, event);
          await world.run(forMs, loads(share));
        }
        await world.run(4_000, loads(3));
        expect(world.worstOf(workspaces)).toBeLessThanOrEqual(1);
        vi.clearAllTimers();
      },
    ),
    { seed: 8_001, numRuns: RUNS },
  );
});
