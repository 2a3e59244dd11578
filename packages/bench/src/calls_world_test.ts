import {
  asId,
  type CallRequest,
  type CallRow,
  CALLS_TABLE,
} from "@teaselvalve/core";
import { afterEach, expect, test } from "vitest";
import type { CallerCall } from "./world/caller.ts";
import { SERVICE, World, type WorldOptions } from "./world/world.ts";

const DAY_MS = 86_400_000;
const SERVICE_TIMEOUT_MS = 30_000;
const KEY = "lenders/filing-1";

let world: World;

afterEach(() => world.close());

async function createWorld(options: Partial<WorldOptions> = {}) {
  world = await World.create({ seed: 1, prefills: 0, decodes: 0, ...options });
}

function sendFiling(
  vm: string,
  changes: Partial<CallRequest> = {},
): CallerCall {
  return world.sendCall(vm, {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId("filing-1"),
    service: asId(SERVICE),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: "{}",
    deadlineAtMs: Date.now() + 10_000,
    ...changes,
  });
}

/** Advances the clock and returns the answer or refusal that the call got, if any. */
async function settle(call: CallerCall, withinMs = 12_000) {
  await world.advance(withinMs);
  return call.verdict?.match<unknown>((answer) => answer, (refusal) => refusal);
}

function countRuns(): number {
  return [...world.services.values()].flatMap((service) => service.runs).length;
}

function readRow(): CallRow | undefined {
  const stored = world.platform.read(CALLS_TABLE, KEY);
  return stored?.value as unknown as CallRow | undefined;
}

function slowServices(ms: number): void {
  for (const service of world.services.values()) service.durationMs = ms;
}

test("A repeated call gets the same answer at any VM, marked as replayed", async () => {
  await createWorld();
  const first = await settle(sendFiling("vm-1"), 500);
  expect(first).toMatchObject({ status: 201, replayed: false });
  for (const vm of ["vm-1", "vm-2", "vm-3"]) {
    const again = await settle(sendFiling(vm), 500);
    expect(again).toEqual({ ...first as object, replayed: true });
  }
  expect(countRuns()).toBe(1);
});

test("A large answer is stored as an object and replayed in full", async () => {
  await createWorld();
  for (const service of world.services.values()) {
    const call = service.call.bind(service);
    service.call = async (request) => ({
      ...await call(request),
      body: "a".repeat(100_000),
    });
  }
  await settle(sendFiling("vm-1"), 500);
  expect(JSON.stringify(readRow()).length).toBeLessThan(1_000);
  const again = await settle(sendFiling("vm-2"), 500);
  expect(again).toMatchObject({ body: "a".repeat(100_000), replayed: true });
});

test.each(["vm-1", "vm-2"])(
  "A repeat at %s attaches to the running call and supersedes the older connection",
  async (vm) => {
    await createWorld();
    slowServices(3_000);
    const older = sendFiling("vm-1");
    await world.advance(500);
    const newer = sendFiling(vm);
    await world.advance(500);
    expect(older.verdict?._unsafeUnwrapErr()).toEqual({
      kind: "mayHaveRun",
      reason: "superseded",
    });
    expect(await settle(newer)).toMatchObject({ status: 201 });
    expect(countRuns()).toBe(1);
  },
);

test("Reusing a key with another caller or body gets the same refusal during and after the call", async () => {
  await createWorld();
  slowServices(1_000);
  const own = sendFiling("vm-1");
  const others: CallerCall[] = [];
  for (const waitMs of [100, 3_000]) {
    await world.advance(waitMs);
    for (const vm of ["vm-1", "vm-2"]) {
      others.push(sendFiling(vm, { caller: asId("lender-2") }));
      others.push(sendFiling(vm, { body: "{ }" }));
    }
  }
  await world.advance(2_000);
  expect(own.verdict?.isOk()).toBe(true);
  for (const other of others) {
    expect(other.verdict?._unsafeUnwrapErr()).toEqual({
      kind: "notRun",
      reason: "key-reused",
      retryAfterMs: 1_000,
    });
  }
  expect(countRuns()).toBe(1);
});

test("When a VM is lost, its claim becomes unknown and the call never runs again", async () => {
  await createWorld();
  slowServices(5_000);
  sendFiling("vm-1");
  await world.advance(100);
  world.killVm("vm-1");
  await world.advance(30_000);
  expect(await settle(sendFiling("vm-2"))).toEqual({
    kind: "mayHaveRun",
    reason: "claimant-lost",
  });
  expect(readRow()?.state.kind).toBe("unknown");
  expect(await settle(sendFiling("vm-3"))).toMatchObject({
    kind: "mayHaveRun",
  });
  expect(countRuns()).toBe(1);
});

test("While the table service is down, new calls are refused at once and leave no claim", async () => {
  await createWorld();
  world.platformFaults.down = true;
  const first = sendFiling("vm-1");
  await world.advance(4_000);
  expect(first.verdict?._unsafeUnwrapErr()).toMatchObject({
    kind: "notRun",
    reason: "store-unavailable",
    earlierAttempts: "unknown",
  });
  const second = sendFiling("vm-1", { request: asId("filing-2") });
  await world.advance(20);
  const refusal = second.verdict?._unsafeUnwrapErr();
  expect(refusal).toMatchObject({ reason: "store-unavailable" });
  expect(refusal).toHaveProperty("retryAfterMs", expect.any(Number));
  world.platformFaults.down = false;
  await world.advance(5_000);
  // The first call's claim was sent to the table service; if it was stored, it was released.
  expect([undefined, "released"]).toContain(readRow()?.state.kind);
  expect(await settle(sendFiling("vm-2"))).toMatchObject({ status: 201 });
  expect(countRuns()).toBe(1);
});

test("A claim whose reply is lost is repeated until its outcome is known, then the call is sent", async () => {
  await createWorld();
  world.platformFaults.loseReplies = 1;
  expect(await settle(sendFiling("vm-1"))).toMatchObject({ status: 201 });
  expect(countRuns()).toBe(1);
});

test("After a refused connection another replica is tried; if all refuse, the claim is released", async () => {
  await createWorld();
  world.network.setUp("kirjaamo-1", false);
  const answers = ["a", "b", "c", "d"].map((name) =>
    sendFiling("vm-1", { request: asId(name) })
  );
  await world.advance(1_000);
  expect(answers.every((call) => call.verdict?.isOk())).toBe(true);
  world.network.setUp("kirjaamo-2", false);
  expect(await settle(sendFiling("vm-1"))).toMatchObject({
    kind: "notRun",
    reason: "endpoint-refused",
  });
  expect(readRow()?.state.kind).toBe("released");
  world.network.setUp("kirjaamo-2", true);
  expect(await settle(sendFiling("vm-3"))).toMatchObject({ status: 201 });
  expect(readRow()).toMatchObject({ attempt: 2, state: { kind: "done" } });
});

test("A call whose service crashes while running it is not sent again", async () => {
  await createWorld();
  slowServices(1_000);
  const call = sendFiling("vm-1");
  await world.advance(200);
  for (const name of world.services.keys()) world.network.setUp(name, false);
  for (const name of world.services.keys()) world.network.setUp(name, true);
  const refusal = { kind: "mayHaveRun", reason: "connection-lost" };
  expect(await settle(call)).toEqual(refusal);
  expect(await settle(sendFiling("vm-2"))).toMatchObject({
    kind: "mayHaveRun",
  });
  expect(countRuns()).toBe(1);
});

test("A claim is released if its caller disconnects before the call is sent", async () => {
  await createWorld();
  world.platformFaults.delayMs = 200;
  const call = sendFiling("vm-1");
  await world.advance(50);
  call.close();
  await world.advance(3_000);
  expect(readRow()?.state.kind).toBe("released");
  expect(countRuns()).toBe(0);
});

test("A VM frozen past a call's deadline does not send the call and releases its claim", async () => {
  await createWorld();
  world.platformFaults.delayMs = 200;
  sendFiling("vm-1", { deadlineAtMs: Date.now() + 2_000 });
  await world.advance(100);
  world.network.freeze("vm-1");
  await world.advance(10_000);
  world.network.thaw("vm-1");
  await world.advance(3_000);
  expect(countRuns()).toBe(0);
  expect(readRow()?.state.kind).toBe("released");
});

test("A row is kept for the retention time after the latest moment at which its call can end", async () => {
  await createWorld();
  const call = sendFiling("vm-1", { deadlineAtMs: Date.now() + 600_000 });
  await world.advance(500);
  const latestEndAtMs = call.request.deadlineAtMs + SERVICE_TIMEOUT_MS;
  expect(readRow()?.expiresAtMs).toBeGreaterThanOrEqual(latestEndAtMs + DAY_MS);
});

test("A key whose timestamp is older than the retention time of rows or ahead of the clock is refused, and so is a missing key", async () => {
  await createWorld();
  const expired = uuidV7(Date.now() - DAY_MS - 1);
  expect(await settle(sendFiling("vm-1", { request: asId(expired) }), 100))
    .toMatchObject({ reason: "key-expired", earlierAttempts: "unknown" });
  const ahead = uuidV7(Date.now() + 600_000);
  expect(await settle(sendFiling("vm-1", { request: asId(ahead) }), 100))
    .toMatchObject({ reason: "bad-request" });
  const recent = uuidV7(Date.now() - 1_000);
  expect(await settle(sendFiling("vm-1", { request: asId(recent) }), 500))
    .toMatchObject({ status: 201 });
  expect(await settle(sendFiling("vm-1", { request: null }), 100))
    .toMatchObject({ reason: "missing-idempotency-key" });
});

function uuidV7(atMs: number): string {
  const time = atMs.toString(16).padStart(12, "0");
  return `${time.slice(0, 8)}-${time.slice(8)}-7abc-8def-0123456789ab`;
}
