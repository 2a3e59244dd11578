import { asId } from "@teaselvalve/core";
import { FakeDecodeEngine } from "@teaselvalve/fakes";
import { afterEach, expect, test } from "vitest";
import { MODEL, World } from "./world.ts";

let world: World | undefined;

afterEach(() => world?.close());

test("A request that crashes engines costs at most three replicas even if all VMs are cut off from each other", async () => {
  const split = world = await World.create({ seed: 1 });
  const names = [...split.vms.keys()];
  for (const from of names) {
    for (const to of names) if (from < to) split.network.cut(from, to);
  }
  for (let round = 0; round < 4; round += 1) {
    for (const [index, vm] of names.entries()) {
      split.sendSummary(vm, {
        workspace: asId("lenders"),
        caller: asId("lender-1"),
        request: asId(`summary-${round}-${index}`),
        model: asId(MODEL),
        prompt: "Summarise [crash]",
        maxTokens: 100,
        fromOffset: 0,
        deadlineAtMs: Date.now() + 5_000,
      });
    }
    await split.advance(6_000);
    for (const address of split.engines.keys()) split.restartEngine(address);
  }
  const lost = [...split.engines.values()].reduce(
    (sum, engine) =>
      sum + (engine instanceof FakeDecodeEngine ? engine.crashedBy.length : 0),
    0,
  );
  expect(lost).toBeLessThanOrEqual(3);
});
