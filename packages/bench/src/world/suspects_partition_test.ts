import { asId } from "@teaselvalve/core";
import { FakeDecodeEngine } from "@teaselvalve/fakes";
import { afterEach, expect, test } from "vitest";
import { MODEL, World } from "./world.ts";

let world: World | undefined;

afterEach(() => world?.close());

test("A request that crashes engines costs three replicas among VMs that are cut off from each other", async () => {
  const parted = world = await World.create({ seed: 1 });
  const names = [...parted.vms.keys()];
  for (const from of names) {
    for (const to of names) if (from < to) parted.network.cut(from, to);
  }
  for (let round = 0; round < 4; round += 1) {
    for (const [at, vm] of names.entries()) {
      parted.sendSummary(vm, {
        workspace: asId("lenders"),
        caller: asId("lender-1"),
        request: asId(`summary-${round}-${at}`),
        model: asId(MODEL),
        prompt: "Summarise [crash]",
        maxTokens: 100,
        fromOffset: 0,
        deadlineAtMs: Date.now() + 5_000,
      });
    }
    await parted.advance(6_000);
    for (const address of parted.engines.keys()) parted.restartEngine(address);
  }
  const lost = [...parted.engines.values()].reduce(
    (sum, engine) =>
      sum + (engine instanceof FakeDecodeEngine ? engine.crashedBy.length : 0),
    0,
  );
  expect(lost).toBeLessThanOrEqual(3);
});
