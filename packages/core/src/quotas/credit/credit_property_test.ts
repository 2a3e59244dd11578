import fc from "fast-check";
import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { workspaceOf } from "./testing/credit_world.ts";
import { loadsOf, startWorld } from "./testing/uneven_load.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const RUNS = 25;
/** Tokens of the requests; few large ones take less time to simulate. */
const MEAN_TOKENS = 6_000;
const vmIndex = fc.nat({ max: 999 });

/** One thing that happens, and how long requests arrive after it. */
const step = fc.record({
  forMs: fc.integer({ min: 50, max: 2_000 }),
  share: fc.constantFrom(0, 0.5, 3),
  event: fc.oneof(
    fc.record({
      kind: fc.constant("divide" as const),
      groups: fc.integer({ min: 1, max: 12 }),
    }),
    fc.record({ kind: fc.constant("freeze" as const), vm: vmIndex }),
    fc.record({ kind: fc.constant("thaw" as const) }),
    fc.record({ kind: fc.constant("restart" as const), vm: vmIndex }),
    fc.record({ kind: fc.constant("restart-all" as const) }),
    fc.record({
      kind: fc.constant("lose" as const),
      share: fc.constantFrom(0, 0.1, 0.3),
    }),
    fc.record({ kind: fc.constant("none" as const) }),
  ),
});

test("No order of faults breaks the bound in any window of 8 s", async () => {
  await fc.assert(
    fc.asyncProperty(
      fc.constantFrom(3, 9, 20),
      fc.nat(),
      fc.array(step, { minLength: 3, maxLength: 8 }),
      async (count, seed, steps) => {
        const workspaces = [246_211, 48_000].map((perSecond, index) =>
          workspaceOf(`p${seed}-${index}`, { perSecond })
        );
        const world = await startWorld(count, { workspaces, seed });
        for (const { event, forMs, share } of steps) {
          const vm = () =>
            world.vms[
              event.kind === "freeze" || event.kind === "restart"
                ? event.vm % count
                : 0
            ]!;
          if (event.kind === "divide") {
            const { groups } = event;
            world.divide((_vm, index) => index % groups);
          } else if (event.kind === "freeze") world.freeze(vm());
          else if (event.kind === "thaw") {
            for (const frozen of world.vms) if (frozen.frozen) frozen.thaw();
          } else if (event.kind === "restart") world.restart(vm());
          else if (event.kind === "restart-all") {
            for (const each of [...world.vms]) world.restart(each);
          } else if (event.kind === "lose") world.lossShare = event.share;
          await world.run(
            forMs,
            loadsOf({ share, workspaces, meanTokens: MEAN_TOKENS }),
          );
        }
        await world.run(
          4_000,
          loadsOf({ share: 3, workspaces, meanTokens: MEAN_TOKENS }),
        );
        expect(world.worstOf(workspaces)).toBeLessThanOrEqual(1);
        vi.clearAllTimers();
      },
    ),
    { seed: 8_001, numRuns: RUNS },
  );
});
