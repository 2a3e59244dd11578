import { asId, type Vm } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { DATA_CENTRES, REGION, World } from "./world.ts";

let world: World | undefined;

afterEach(() => world?.close());

function statesAt(vm: Vm): Record<string, string> {
  return Object.fromEntries(
    vm.membership.members().map(({ id, state }) => [id, state]),
  );
}

function listsAsLive(vm: Vm, name: string): boolean {
  return vm.membership.member(asId(name))?.state === "live";
}

/** Cuts or heals every network path between two groups of hosts. */
function setPaths(
  change: "cut" | "heal",
  groups: { a: readonly string[]; b: readonly string[] },
): void {
  for (const a of groups.a) {
    for (const b of groups.b) world!.network[change](a, b);
  }
}

test("Nine VMs see each other as live and all remove a killed one", async () => {
  world = await World.create({ seed: 3, vms: 9 });
  await world.advance(10_000);
  for (const vm of world.vms.values()) {
    expect(new Set(Object.values(statesAt(vm)))).toEqual(new Set(["live"]));
  }
  world.killVm("vm-4");
  await world.advance(9_000);
  for (const vm of world.vms.values()) {
    expect(listsAsLive(vm, "vm-4")).toBe(false);
  }
  await world.advance(60_000);
  for (const vm of world.vms.values()) {
    expect(statesAt(vm)["vm-4"]).toBeUndefined();
  }
});

test("All VMs see a new VM as live within 5 s of its start", async () => {
  world = await World.create({ seed: 4, vms: 5 });
  const added = world.addVm();
  await world.advance(5_000);
  for (const vm of world.vms.values()) {
    expect(listsAsLive(vm, added.context.identity.id)).toBe(true);
  }
});

test("A VM that is listed but doesn't answer is suspected", async () => {
  world = await World.create({ seed: 5, vms: 5 });
  world.network.setUp("vm-2", false);
  world.vms.delete("vm-2");
  await world.advance(30_000);
  for (const vm of world.vms.values()) {
    expect(statesAt(vm)["vm-2"]).toBe("suspected");
  }
});

test("A frozen VM is no longer seen as live, and is again after it thaws", async () => {
  world = await World.create({ seed: 6, vms: 5 });
  world.network.freeze("vm-3");
  await world.advance(12_000);
  expect(listsAsLive(world.vms.get("vm-1")!, "vm-3")).toBe(false);
  world.network.thaw("vm-3");
  await world.advance(15_000);
  for (const vm of world.vms.values()) {
    expect(new Set(Object.values(statesAt(vm)))).toEqual(new Set(["live"]));
  }
});

test("Connections that silently drop messages leave no VM suspected for long", async () => {
  world = await World.create({ seed: 7, vms: 4 });
  const names = [...world.vms.keys()];
  for (const a of names) for (const b of names) world.network.silence(a, b);
  await world.advance(8_000);
  for (const vm of world.vms.values()) {
    expect(new Set(Object.values(statesAt(vm)))).toEqual(new Set(["live"]));
  }
});

test("Regions cut off from each other choose homes within themselves and rejoin", async () => {
  const regions = [REGION, asId<typeof REGION>("anadolu")];
  world = await World.create({
    seed: 8,
    vms: 6,
    locationOf: (index) => ({
      dataCentre: DATA_CENTRES[index % 3]!,
      region: regions[index < 3 ? 0 : 1]!,
    }),
  });
  const names = [...world.vms.keys()];
  const groups = { a: names.slice(0, 3), b: names.slice(3) };
  setPaths("cut", groups);
  await world.advance(60_000);
  const [firstVm] = world.vms.values();
  expect(statesAt(firstVm!)["vm-2"]).toBe("live");
  expect(statesAt(firstVm!)["vm-5"]).toBe("suspected");
  for (let index = 0; index < 50; index += 1) {
    const homes = groups.a.map((name) =>
      world!.vms.get(name)!.membership.homeOf(`key-${index}`).id
    );
    expect(new Set(homes).size).toBe(1);
    expect(groups.a).toContain(homes[0]);
  }
  setPaths("heal", groups);
  await world.advance(30_000);
  for (const vm of world.vms.values()) {
    expect(new Set(Object.values(statesAt(vm)))).toEqual(new Set(["live"]));
  }
});

test("An incarnation of a VM counts as ended only with evidence", async () => {
  world = await World.create({ seed: 9, vms: 4 });
  const membership = world.vms.get("vm-1")!.membership;
  const owner = {
    vm: asId<never>("vm-2"),
    incarnation: asId<never>("vm-2-boot"),
  };
  const confirmEnded = async (incarnation = owner.incarnation) => {
    const answer = world!.timers.runOn(
      "vm-1",
      () => membership.confirmEnded({ ...owner, incarnation }),
    );
    await world!.advance(2_000);
    return await answer;
  };
  expect(await confirmEnded()).toBe(false);
  expect(await confirmEnded(asId<never>("vm-2-older"))).toBe(true);
  world.network.freeze("vm-2");
  await world.advance(20_000);
  expect(await confirmEnded()).toBe(false);
  world.network.thaw("vm-2");
  await world.advance(10_000);
  world.killVm("vm-2");
  expect(await confirmEnded()).toBe(false);
  await world.advance(15_000);
  expect(await confirmEnded()).toBe(true);
});
