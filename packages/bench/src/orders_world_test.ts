import { type EngineOrder, MAX_SAFE_FREEZE_MS } from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import { MODEL, World } from "./world/world.ts";

const LEASE_KEY = `lease/${MODEL}`;

let world: World;

afterEach(() => world?.close());

/** An order that took effect at an engine. */
interface ExecutedOrder {
  readonly engine: string;
  readonly order: EngineOrder;
  /** Fencing number in the lease's row when the order took effect. */
  readonly currentFencingNumber: number;
  readonly atMs: number;
}

async function createWorld(options: { checksFencing: boolean }) {
  const executed: ExecutedOrder[] = [];
  world = await World.create({
    seed: 5,
    vms: 3,
    prefills: 1,
    decodes: 3,
  });
  for (const [name, engine] of world.engines) {
    engine.checksFencing = options.checksFencing;
    engine.onOrder = (order) =>
      executed.push({
        engine: name,
        order,
        currentFencingNumber: readFencingNumber(modelOf(name)),
        atMs: performance.now(),
      });
  }
  return executed;
}

function modelOf(engine: string): string {
  const [vm] = world.vms.values();
  const { endpoints } = vm!.configuration.current()!.bodies;
  return endpoints.find((endpoint) => endpoint.id === engine)!.model!;
}

function readFencingNumber(model = MODEL): number {
  const row = world.platform.read("orders", `lease/${model}`);
  return (row?.value as { fencingNumber: number } | undefined)
    ?.fencingNumber ?? 0;
}

async function submitVersion(
  modelVersion: string,
  options: { checksFencing: boolean },
): Promise<void> {
  const [vm] = world.vms.values();
  const { head, bodies } = vm!.configuration.current()!;
  const body = bodies.endpoints.map((endpoint) =>
    endpoint.kind === "decode"
      ? { ...endpoint, modelVersion, checksFencing: options.checksFencing }
      : endpoint
  );
  const outcome = world.submitManifest(vm!.context.identity.id, {
    submissionId: modelVersion,
    scopes: {
      deployment: {
        basedOn: head.scopes.deployment!.version,
        body: { ...bodies.deployment, modelLoadsPerMinute: 600 },
      },
      endpoints: { basedOn: head.scopes.endpoints!.version, body },
    },
  });
  await world.advance(1_500);
  expect(await outcome).toMatchObject({ kind: "accepted" });
}

function decodeReports() {
  return [...world.engines.values()]
    .filter((engine) => engine.role === "decode")
    .map((engine) => engine.report());
}

function findHome(): string {
  const [vm] = world.vms.values();
  return vm!.membership.homeOf(`orders/${MODEL}`).id;
}

test("While decode replicas load a new version, at least one still serves the model", async () => {
  const executed = await createWorld({ checksFencing: true });
  await submitVersion("v2", { checksFencing: true });
  let minServing = 3;
  for (let second = 0; second < 60; second += 1) {
    await world.advance(1_000);
    const serving = decodeReports().filter((report) =>
      report.models.includes(MODEL)
    );
    minServing = Math.min(minServing, serving.length);
  }
  expect(decodeReports().map((report) => report.modelVersion)).toEqual([
    "v2",
    "v2",
    "v2",
  ]);
  expect(minServing).toBeGreaterThanOrEqual(1);
  const loads = executed.filter(({ order }) => order.modelVersion === "v2");
  expect(loads).toHaveLength(3);
  const row = world.platform.read("orders", LEASE_KEY)!;
  expect(row.value).toMatchObject({ released: true });
});

test("Models are loaded from the weight store no faster than the manifest allows", async () => {
  const executed = await createWorld({ checksFencing: true });
  await submitVersion("v2", { checksFencing: true });
  const [vm] = world.vms.values();
  const { head, bodies } = vm!.configuration.current()!;
  const outcome = world.submitManifest("vm-1", {
    submissionId: "slow",
    scopes: {
      deployment: {
        basedOn: head.scopes.deployment!.version,
        body: { ...bodies.deployment, modelLoadsPerMinute: 4 },
      },
    },
  });
  await world.advance(70_000);
  expect(await outcome).toMatchObject({ kind: "accepted" });
  const atMs = executed.filter(({ order }) => order.modelVersion).map((load) =>
    load.atMs
  );
  expect(atMs).toHaveLength(3);
  // The first may have been sent before the slower rate became active.
  expect(atMs[2]! - atMs[1]!).toBeGreaterThanOrEqual(15_000);
});

test("An order delayed by the longest safe freeze takes effect before a new lease is issued", async () => {
  const executed = await createWorld({ checksFencing: false });
  for (const engine of world.engines.values()) {
    engine.orderDelayMs = MAX_SAFE_FREEZE_MS;
  }
  await submitVersion("v2", { checksFencing: false });
  while (executed.length === 0) await world.advance(100);
  world.killVm(findHome());
  await world.advance(90_000);
  for (const { order, currentFencingNumber } of executed) {
    expect(order.fencingNumber).toBe(currentFencingNumber);
  }
});

test("An order that arrives long after its lease ended is refused by fencing, or its effect is repaired", async () => {
  for (const checksFencing of [true, false]) {
    await createWorld({ checksFencing });
    await submitVersion("v2", { checksFencing });
    await world.advance(60_000);
    const late: EngineOrder = {
      fencingNumber: 0,
      model: MODEL,
      modelVersion: "v1",
    };
    const engine = world.engines.get("decode-1")!;
    const rejection = world.timers.runOn("decode-1", () => engine.order(late));
    expect(rejection).toBe(checksFencing ? "fenced" : null);
    await world.advance(40_000);
    expect(engine.report().modelVersion).toBe("v2");
    world.close();
  }
});
