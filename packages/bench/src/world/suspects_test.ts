import { asId, suspectHash, type SuspectRun } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { World } from "./world.ts";

const POISON = suspectHash(asId("lenders"), "poison");
const ENDPOINT = asId<never>("decode-1");

let world: World | undefined;

afterEach(() => world?.close());

/** Submits the request to a VM's suspects component and, if it may run, crashes its replica after 300 ms; returns the admission's kind. */
function runPoison(vm: string, lost: { count: number }): Promise<string> {
  return world!.timers.runOn(vm, async () => {
    const { suspects } = world!.vms.get(vm)!;
    const admission = await suspects.admit(POISON);
    if (!("run" in admission)) return admission.kind;
    const { run }: { run: SuspectRun } = admission;
    suspects.started(run, ENDPOINT);
    await new Promise((resolve) => setTimeout(resolve, 300));
    lost.count += 1;
    suspects.crashed(run, ENDPOINT);
    return admission.kind;
  });
}

test("A poison request sent repeatedly through all VMs at once costs three replicas and is then quarantined", async () => {
  world = await World.create({ seed: 3 });
  const lost = { count: 0 };
  for (let round = 0; round < 10; round += 1) {
    for (const vm of world.vms.keys()) {
      void runPoison(vm, lost);
      void runPoison(vm, lost);
    }
    await world.advance(1_000);
  }
  expect(lost.count).toBe(3);
  expect(await settled(runPoison("vm-2", lost))).toBe("convicted");
});

test("A quarantine outlives every VM that has seen it", async () => {
  world = await World.create({ seed: 4 });
  const lost = { count: 0 };
  for (let round = 0; round < 3; round += 1) {
    void runPoison("vm-1", lost);
    await world.advance(1_000);
  }
  const before = [...world.vms.keys()];
  for (const vm of before) world.killVm(vm);
  const replacement = world.addVm();
  await world.advance(15_000);
  expect(await settled(runPoison(replacement.context.identity.id, lost)))
    .toBe("convicted");
  expect(lost.count).toBe(2);
});

async function settled(outcome: Promise<string>): Promise<string> {
  await world!.advance(500);
  return await outcome;
}
