import {
  asId,
  type Configuration,
  type SubmissionOutcome,
  type Vm,
} from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { World, type WorldOptions } from "./world/world.ts";

const ACTIVATION_LIMIT_MS = 4_000;

let world: World;

afterEach(() => world?.close());

async function createWorld(options: Partial<WorldOptions> = {}): Promise<void> {
  world = await World.create({ seed: 7, vms: 6, ...options });
}

function activeVersions(): number[] {
  return [...world.vms.values()].map((vm) => vm.configuration.version());
}

function firstVm(): Vm {
  return [...world.vms.values()][0]!;
}

function createManifest(
  submissionId: string,
  options: { ids: string[]; basedOn?: number },
) {
  const { ids, basedOn = 1 } = options;
  const body = ids.map((id) => ({ id }));
  return { submissionId, scopes: { workspaces: { basedOn, body } } };
}

async function submit(
  vm: string,
  manifest: unknown,
  waitMs = 2_000,
): Promise<SubmissionOutcome> {
  const outcome = world.submitManifest(vm, manifest);
  await world.advance(waitMs);
  return await outcome as SubmissionOutcome;
}

test("An accepted manifest is held in other data centres and becomes active on all VMs", async () => {
  await createWorld();
  const outcome = world.submitManifest(
    "vm-2",
    createManifest("second", { ids: ["lenders"] }),
  );
  await world.advance(500);
  expect(await outcome).toMatchObject({ kind: "accepted", version: 2 });
  expect(await outcome).toMatchObject({ holderDataCentres: 3 });
  await world.advance(1_500);
  expect(activeVersions()).toEqual([2, 2, 2, 2, 2, 2]);
});

test("A VM that has just started waits for a list of VMs that includes those started with it", async () => {
  await createWorld({ vms: 1 });
  world.killVm("vm-1");
  await world.advance(3_000);
  world.addVm();
  const started = world.addVm();
  const outcome = world.submitManifest(
    started.context.identity.id,
    createManifest("second", { ids: ["lenders"] }),
  );
  await world.advance(10_000);
  expect(await outcome).toMatchObject({ kind: "accepted", holders: 2 });
});

test("Manifests for disjoint scopes are accepted; of two for one scope, one gets a conflict that lists what it would overwrite", async () => {
  await createWorld();
  const deployment = {
    submissionId: "targets",
    scopes: {
      deployment: {
        basedOn: 1,
        body: {
          name: "world",
          firstTokenTargetMs: 500,
          services: [{ name: "kirjaamo" }],
        },
      },
    },
  };
  const outcomes = [
    world.submitManifest("vm-1", deployment),
    world.submitManifest(
      "vm-2",
      createManifest("a", { ids: ["lenders", "clinics"] }),
    ),
    world.submitManifest("vm-3", createManifest("b", { ids: ["offices"] })),
  ];
  await world.advance(4_000);
  const [first, ...others] = await Promise.all(
    outcomes,
  ) as SubmissionOutcome[];
  expect(first!.kind).toBe("accepted");
  expect(others.map((outcome) => outcome.kind).sort()).toEqual([
    "accepted",
    "conflict",
  ]);
  const conflict = others.find((outcome) => outcome.kind === "conflict")!;
  expect(JSON.stringify(conflict)).toMatch(/[-+] workspaces\.\w+: /);
  expect(new Set(activeVersions())).toEqual(new Set([3]));
});

test("A submission that is repeated because its reply was lost is applied once", async () => {
  await createWorld();
  const manifest = createManifest("lost", { ids: ["clinics"] });
  const platform = world.platform;
  const transact = platform.transact.bind(platform);
  let commits = 0;
  platform.transact = (writes) => {
    const outcome = transact(writes);
    if (commits < 1) world.platformFaults.loseReplies = 1;
    commits += 1;
    return outcome;
  };
  const first = await submit("vm-1", manifest, 5_000);
  const again = await submit("vm-4", manifest);
  expect(first).toMatchObject({ kind: "accepted", version: 2 });
  expect(again).toMatchObject({ kind: "accepted", version: 2 });
  expect(commits).toBe(2);
  expect(new Set(activeVersions())).toEqual(new Set([2]));
  const other = await submit(
    "vm-4",
    createManifest("lost", { ids: ["other"] }),
  );
  expect(other).toMatchObject({ kind: "invalid" });
});

test("A platform outage right after acceptance doesn't stop a version from spreading", async () => {
  await createWorld();
  const outcome = world.submitManifest(
    "vm-1",
    createManifest("second", { ids: ["lenders"] }),
  ).then((accepted) => {
    world.platformFaults.down = true;
    return accepted;
  });
  await world.advance(200);
  expect(await outcome).toMatchObject({ kind: "accepted" });
  await world.advance(ACTIVATION_LIMIT_MS - 200);
  expect(activeVersions()).toEqual([2, 2, 2, 2, 2, 2]);
});

test("While the platform is down, a new VM waits for three peers' answers and takes the highest version", async () => {
  await createWorld();
  // The platform's list of VMs, as read before the outage.
  const members = firstVm().membership.members();
  const behind = ["vm-4", "vm-5", "vm-6"];
  const ahead = ["vm-1", "vm-2", "vm-3"];
  for (const a of behind) {
    for (const b of [...ahead, "platform"]) world.network.cut(a, b);
  }
  await submit("vm-1", createManifest("second", { ids: ["lenders"] }), 10_000);
  expect(activeVersions()).toEqual([2, 2, 2, 1, 1, 1]);
  world.platformFaults.down = true;
  const joined = world.addVm();
  joined.membership.members = () => members;
  for (const name of ["vm-2", "vm-3", "vm-5", "vm-6"]) {
    world.network.cut("vm-7", name);
  }
  await world.advance(5_000);
  expect(joined.configuration.version()).toBe(0);
  world.network.heal("vm-7", "vm-5");
  await world.advance(ACTIVATION_LIMIT_MS);
  expect(joined.configuration.version()).toBe(2);
});

test("A lost VM that is still in the local view doesn't prevent a new VM from starting", async () => {
  await createWorld({ vms: 3 });
  const members = firstVm().membership.members();
  await submit("vm-1", createManifest("second", { ids: ["lenders"] }));
  world.killVm("vm-2");
  world.platformFaults.down = true;
  const joined = world.addVm();
  joined.membership.members = () => members;
  await world.advance(ACTIVATION_LIMIT_MS);
  expect(joined.configuration.version()).toBe(2);
});

test("A data centre that was cut off gets the configuration soon after it reconnects", async () => {
  await createWorld();
  const inside = ["vm-3", "vm-6"];
  const outside = ["vm-1", "vm-2", "vm-4", "vm-5", "platform"];
  const paths = inside.flatMap((a) => outside.map((b) => [a, b] as const));
  for (const [a, b] of paths) world.network.cut(a, b);
  const outcome = await submit(
    "vm-1",
    createManifest("second", { ids: ["lenders"] }),
    12_000,
  );
  expect(["accepted", "pending"]).toContain(outcome.kind);
  expect(activeVersions()).toEqual([2, 2, 1, 2, 2, 1]);
  for (const [a, b] of paths) world.network.heal(a, b);
  await world.advance(ACTIVATION_LIMIT_MS);
  expect(activeVersions()).toEqual([2, 2, 2, 2, 2, 2]);
});

test("History, show and diff return stored versions; restoring an earlier one creates a new version", async () => {
  await createWorld({ vms: 3 });
  await submit("vm-1", createManifest("second", { ids: ["lenders"] }));
  const back = createManifest("third", {
    ids: ["offices", "lenders"],
    basedOn: 2,
  });
  expect(await submit("vm-2", back)).toMatchObject({ version: 3 });
  const { configuration } = firstVm();
  const [history, first, difference, missing] = await readAll([
    configuration.history({ limit: 2 }),
    configuration.show(1),
    configuration.diff({ from: 1, to: 2 }),
    configuration.show(9),
  ]);
  expect(history).toMatchObject([{ version: 3, submissionId: "third" }, {
    version: 2,
    changed: ["workspaces"],
  }]);
  expect(first).toMatchObject({ head: { version: 1 } });
  const restored = configuration.current()!.bodies.workspaces;
  expect(first).toMatchObject({ bodies: { workspaces: restored } });
  expect(difference).toMatchObject({
    lines: [expect.stringMatching(/^- workspaces\.offices: /)],
  });
  expect(missing).toBeNull();
});

test("A VM far behind gets the changes since its version, or a snapshot if they are unavailable", async () => {
  await createWorld({ vms: 3 });
  await submit("vm-1", createManifest("second", { ids: ["lenders"] }));
  const { configuration } = firstVm();
  expect(configuration.answerFetch(1)).toMatchObject({
    kind: "changes",
    more: false,
    changes: [{ head: { version: 2 } }],
  });
  expect(configuration.answerFetch(2)).toMatchObject({ kind: "current" });
  expect(configuration.answerFetch(0)).toMatchObject({ kind: "snapshot" });
  const joined = world.addVm();
  await world.advance(2_000);
  await submit(
    "vm-1",
    createManifest("third", { ids: ["offices"], basedOn: 2 }),
  );
  expect(joined.configuration.answerFetch(1)).toMatchObject({
    kind: "snapshot",
  });
  expect(joined.configuration.answerFetch(2)).toMatchObject({
    kind: "changes",
  });
});

test(
  "A large scope is stored in full at intervals and read through its changes",
  async () => {
    await createWorld({ vms: 3 });
    const storedSizes: number[] = [];
    const putObject = world.platform.putObject.bind(world.platform);
    world.platform.putObject = (name, body) => {
      storedSizes.push(body.length);
      putObject(name, body);
    };
    const ids = Array.from({ length: 300 }, (_, index) => `workspace-${index}`);
    const submissionCount = 36;
    for (let number = 1; number <= submissionCount; number += 1) {
      const manifest = createManifest(`large-${number}`, {
        ids: [...ids, `extra-${number}`],
        basedOn: number,
      });
      const outcome = await submit("vm-1", manifest, 200);
      expect(outcome).toMatchObject({ version: number + 1 });
    }
    const joined = world.addVm();
    await world.advance(1_000);
    expect(joined.configuration.version()).toBe(submissionCount + 1);
    const { configuration } = firstVm();
    const [early, late] = await readAll([
      joined.configuration.show(20),
      configuration.diff({ from: 30, to: 31 }),
    ]);
    const earlyWorkspaces = (early as Configuration).bodies.workspaces;
    expect(earlyWorkspaces).toHaveLength(301);
    expect(earlyWorkspaces.map((workspace) => workspace.id)).toContain(
      "extra-19",
    );
    expect(late).toMatchObject({
      lines: [
        expect.stringContaining("- workspaces.extra-29"),
        expect.stringContaining("+ workspaces.extra-30"),
      ],
    });
    // The change in version 2, which made the scope large, and one full body in version 34, 33 versions after the small first body.
    const largeSizes = storedSizes.filter((size) => size > 16_384);
    expect(largeSizes).toHaveLength(2);
  },
  20_000,
);

test("Tokens are found by their hash in the active configuration", async () => {
  await createWorld({ vms: 3 });
  const hash = "a".repeat(64);
  const body = [{ id: "lenders", tokens: [{ hash, caller: "lender-1" }] }];
  await submit("vm-1", {
    submissionId: "second",
    scopes: { workspaces: { basedOn: 1, body } },
  });
  const { configuration } = firstVm();
  expect(configuration.findToken(asId(hash))).toMatchObject({
    workspace: { id: "lenders" },
    token: { caller: "lender-1" },
  });
  expect(configuration.findToken(asId("b".repeat(64)))).toBeUndefined();
});

async function readAll(
  reads: readonly Promise<{ _unsafeUnwrap(): unknown }>[],
): Promise<unknown[]> {
  const results = Promise.all(reads);
  await world.advance(1_000);
  return (await results).map((result) => result._unsafeUnwrap());
}
