import { seededRandom } from "@teaselvalve/fakes";
import type { ShutdownOutcome, VmPolicies } from "@teaselvalve/core";
import { Vm } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { AddressCaller, describeFailure } from "./address_caller.ts";
import { World, type WorldOptions } from "./world.ts";

const REQUEST_INTERVAL_MS = 150;

let world: World | undefined;

afterEach(() => world?.close());

interface Load {
  readonly callers: readonly AddressCaller[];
  /** Stops sending, waits until all deadlines have passed and describes the failed requests. */
  end(): Promise<string[]>;
}

function startLoad(): Load {
  const random = seededRandom(77);
  const callers = Array.from(
    { length: 6 },
    (_, index) =>
      new AddressCaller(world!, { name: `caller-${index}`, random }),
  );
  let turn = 0;
  const timer = setInterval(() => {
    const caller = callers[turn % callers.length]!;
    turn += 1;
    if (turn % 2 === 0) caller.sendCall();
    else caller.sendSummary(20 + Math.floor(random() * 400));
  }, REQUEST_INTERVAL_MS);
  return {
    callers,
    async end() {
      clearInterval(timer);
      await world!.advance(31_000);
      return callers.flatMap(({ requests }) => requests)
        .map(describeFailure)
        .filter((failure) => failure !== null);
    },
  };
}

async function createWorld(options: WorldOptions): Promise<World> {
  world = await World.create({ prefills: 4, decodes: 6, ...options });
  await world.advance(5_000);
  return world;
}

/** Advances the clock until all shutdowns are done. */
async function waitForShutdowns(
  shutdowns: readonly Promise<ShutdownOutcome | null>[],
): Promise<(ShutdownOutcome | null)[]> {
  let done = false;
  const outcomes = Promise.all(shutdowns).finally(() => (done = true));
  while (!done) await world!.advance(500);
  return await outcomes;
}

async function failuresDuringShutdown(policies: VmPolicies): Promise<string[]> {
  const createVm: WorldOptions["createVm"] = (context) =>
    new Vm(context, policies);
  await createWorld({ seed: 11, vms: 5, createVm });
  const load = startLoad();
  await world!.advance(5_000);
  await waitForShutdowns([world!.stopVm("vm-2"), world!.stopVm("vm-4")]);
  return await load.end();
}

test("Three of nine VMs shut down at once and cut no request", async () => {
  await createWorld({ seed: 12, vms: 9 });
  const load = startLoad();
  await world!.advance(5_000);
  const outcomes = await waitForShutdowns(
    ["vm-2", "vm-5", "vm-9"].map((name) => world!.stopVm(name)),
  );
  expect(outcomes.map((outcome) => outcome?.kind)).toEqual([
    "drained",
    "drained",
    "drained",
  ]);
  expect(await load.end()).toEqual([]);
});

test("Every VM is replaced in turn under load and no request is cut", async () => {
  await createWorld({ seed: 13, vms: 4 });
  const load = startLoad();
  for (const name of ["vm-1", "vm-2", "vm-3", "vm-4"]) {
    world!.addVm();
    await world!.advance(3_000);
    await waitForShutdowns([world!.stopVm(name)]);
  }
  expect([...world!.vms.keys()]).toEqual(["vm-5", "vm-6", "vm-7", "vm-8"]);
  expect(await load.end()).toEqual([]);
});

test("A leaving VM is soon home for no key and seen as leaving by all others", async () => {
  await createWorld({ seed: 14, vms: 5 });
  void world!.stopVm("vm-3");
  await world!.advance(2_000);
  for (const [name, { membership }] of world!.vms) {
    for (let index = 0; index < 100; index += 1) {
      expect(membership.homeOf(`key-${index}`).id).not.toBe("vm-3");
    }
    if (name === "vm-3") continue;
    expect(membership.member("vm-3" as never)?.state).toBe("leaving");
  }
});

test("A shutdown that does not wait for cached addresses refuses callers", async () => {
  const failures = await failuresDuringShutdown({
    stop: { waitsForAddressTtl: false },
  });
  expect(failures.join("\n")).toMatch(/stopping|refused or cut/);
});

/** Sends a long summary shortly before a VM that shuts down refuses new work; returns why it failed, or null. */
async function failureOfLateSummary(
  policies: VmPolicies,
): Promise<string | null> {
  const createVm: WorldOptions["createVm"] = (context) =>
    new Vm(context, policies);
  await createWorld({ seed: 16, vms: 3, createVm });
  const stop = world!.stopVm("vm-2");
  await world!.advance(13_000);
  const late = new AddressCaller(world!, {
    name: "caller-1",
    random: seededRandom(5),
  }).sendSummaryTo("vm-2", 1_000);
  await waitForShutdowns([stop]);
  await world!.advance(30_000);
  return describeFailure(late);
}

test("A shutdown waits for a long summary that arrives late", async () => {
  expect(await failureOfLateSummary({})).toBeNull();
});

test("A shutdown that does not drain cuts a summary", async () => {
  const failure = await failureOfLateSummary({ stop: { drains: false } });
  expect(failure).toContain("refused or cut");
});

test("A second signal cuts running requests and answers them", async () => {
  await createWorld({ seed: 15, vms: 3 });
  const caller = new AddressCaller(world!, {
    name: "caller-1",
    random: seededRandom(5),
  });
  const sent = caller.sendSummary(1_000)!;
  await world!.advance(2_000);
  const stop = world!.stopVm(sent.vm);
  await world!.advance(1_000);
  world!.vms.get(sent.vm)!.forceShutdown("second-signal");
  const [outcome] = await waitForShutdowns([stop]);
  expect(outcome).toEqual({
    kind: "cut",
    reason: "second-signal",
    inProgress: 1,
  });
  expect(describeFailure(sent)).toContain("cut-by-stop");
});
