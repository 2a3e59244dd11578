import {
  asId,
  type CounterName,
  SILENT_OBSERVER,
  type SummaryRequest,
} from "@teaselvalve/core";
import { expectedAnswer } from "@teaselvalve/fakes";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { CallerSummary } from "./caller.ts";
import { MODEL, World } from "./world.ts";

const LONG_TOKENS = 400;

let world: World;
let counts: Map<string, number>;

beforeEach(async () => {
  counts = new Map();
  const count = (counter: CounterName, reason: string) => {
    const name = `${counter} ${reason}`;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  };
  world = await World.create({
    seed: 1,
    observer: { ...SILENT_OBSERVER, count },
  });
});

afterEach(() => world.close());

function promptOf(tokens: number): string {
  return `Summarise [length=${tokens}]`;
}

function sendSummary(
  vm: string,
  overrides: Partial<SummaryRequest> = {},
): CallerSummary {
  return world.sendSummary(vm, {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId("summary-1"),
    model: asId(MODEL),
    prompt: promptOf(LONG_TOKENS),
    maxTokens: 1_000,
    fromOffset: 0,
    deadlineAtMs: Date.now() + 20_000,
    ...overrides,
  });
}

/** Returns the expected answer to a prompt, whole or up to an offset. */
function expectedText(tokens: number, upTo = tokens): string {
  const prompt = { text: promptOf(tokens), tokens: 0, blocks: [] };
  return expectedAnswer(prompt, upTo);
}

function heldRunCount(): number {
  return [...world.engines.values()].flatMap((engine) => engine.heldRuns())
    .length;
}

function expectSuperseded(summary: CallerSummary): void {
  expect(summary.last).toMatchObject({
    kind: "refused",
    refusal: { reason: "superseded" },
  });
}

for (const second of ["vm-1", "vm-2"]) {
  test(`The same key sent again to ${second} takes over the stream from its offset`, async () => {
    const first = sendSummary("vm-1");
    await world.advance(1_000);
    const fromOffset = first.nextOffset;
    expect(fromOffset).toBeGreaterThan(10);
    const newer = sendSummary(second, { fromOffset });
    await world.advance(10_000);
    expectSuperseded(first);
    expect(newer.last).toMatchObject({ kind: "end", totalTokens: LONG_TOKENS });
    const before = expectedText(LONG_TOKENS, fromOffset);
    expect(first.text.startsWith(before)).toBe(true);
    expect(before + newer.text).toBe(expectedText(LONG_TOKENS));
    expect([...first.errors, ...newer.errors]).toEqual([]);
    expect(counts.get("retries engine-crashed")).toBeUndefined();
  });
}

test("A different body under the same key is refused, and other callers see nothing of the request", async () => {
  const first = sendSummary("vm-1");
  await world.advance(500);
  const other = sendSummary("vm-2", { prompt: promptOf(30) });
  const stranger = sendSummary("vm-3", { caller: asId("lender-2") });
  await world.advance(200);
  const resumer = sendSummary("vm-3", {
    caller: asId("lender-3"),
    fromOffset: 4,
  });
  await world.advance(10_000);
  expect(other.last).toMatchObject({ refusal: { reason: "key-reused" } });
  expect(resumer.last).toMatchObject({ refusal: { reason: "not-found" } });
  expect(first.last).toMatchObject({ kind: "end", totalTokens: LONG_TOKENS });
  expect(first.text).toBe(expectedText(LONG_TOKENS));
  expect(stranger.text).toBe(expectedText(LONG_TOKENS));
});

test("A finished answer can be read again from any offset while its text is retained", async () => {
  sendSummary("vm-1", { prompt: promptOf(40) });
  await world.advance(3_000);
  const rest = sendSummary("vm-2", { prompt: promptOf(40), fromOffset: 39 });
  await world.advance(1_000);
  expect(rest.last).toMatchObject({ kind: "end", totalTokens: 40 });
  expect(rest.text).toBe(expectedText(40).slice(expectedText(40, 39).length));
  const orders = () =>
    [...world.engines.values()].reduce(
      (sum, engine) => sum + engine.ordersReceived,
      0,
    );
  expect(orders()).toBe(2);
  const again = sendSummary("vm-3", { prompt: promptOf(40) });
  await world.advance(1_000);
  expect(again.text).toBe(expectedText(40));
  expect(orders()).toBe(2);
});

test("A caller whose VM dies gets the running stream at another VM", async () => {
  const first = sendSummary("vm-1");
  await world.advance(2_500);
  world.killVm("vm-1");
  await world.advance(200);
  const newer = sendSummary("vm-2", { fromOffset: first.nextOffset });
  await world.advance(12_000);
  expect(first.broken).toBe(true);
  expect(newer.last).toMatchObject({ kind: "end", totalTokens: LONG_TOKENS });
  expect(first.text + newer.text).toBe(expectedText(LONG_TOKENS));
  expect(counts.get("cancels orphan")).toBeUndefined();
});

test.each(["vm-1", "vm-2", "vm-3"])(
  "No engine run is held 5 s after %s dies if its callers do not return",
  async (vm) => {
    for (let index = 0; index < 4; index += 1) {
      sendSummary(vm, {
        request: asId(`long-${index}`),
        prompt: promptOf(900 + index),
      });
      await world.advance(200);
    }
    expect(heldRunCount()).toBe(4);
    world.killVm(vm);
    await world.advance(5_000);
    expect(heldRunCount()).toBe(0);
  },
);

test("A cancel is repeated until the engine is reachable", async () => {
  const summary = sendSummary("vm-1", { prompt: promptOf(900) });
  await world.advance(500);
  for (const engine of world.engines.keys()) world.network.cut("vm-1", engine);
  summary.close();
  await world.advance(3_000);
  expect(heldRunCount()).toBe(1);
  for (const engine of world.engines.keys()) {
    world.network.heal("vm-1", engine);
  }
  await world.advance(2_000);
  expect(heldRunCount()).toBe(0);
});

test("A stream on a connection that silently drops messages continues over a new one", async () => {
  const summary = sendSummary("vm-1");
  await world.advance(1_000);
  for (const engine of world.engines.keys()) {
    world.network.silence("vm-1", engine);
  }
  await world.advance(10_000);
  expect(summary.text).toBe(expectedText(LONG_TOKENS));
  expect(counts.get("retries engine-crashed")).toBeUndefined();
});

test("A stalled transfer is retried once, without prefilling again", async () => {
  const prefills = [...world.engines.values()].filter((engine) =>
    "link" in engine
  );
  for (const engine of prefills) engine.link.stall(true);
  const summary = sendSummary("vm-1", { prompt: promptOf(30) });
  await world.advance(450);
  for (const engine of prefills) engine.link.stall(false);
  await world.advance(3_000);
  expect(summary.text).toBe(expectedText(30));
  expect(counts.get("retries transfer-failed")).toBe(1);
  const prefilled = prefills.reduce(
    (sum, engine) => sum + engine.ordersReceived,
    0,
  );
  expect(prefilled).toBe(1);
});

test("An answer continues after its decode replica crashed, if the regenerated text agrees", async () => {
  const summary = sendSummary("vm-1");
  await world.advance(1_500);
  const [address] = [...world.engines].find(([, engine]) =>
    engine.role === "decode" && engine.heldRuns().length > 0
  )!;
  world.crashEngine(address);
  await world.advance(12_000);
  expect(summary.text).toBe(expectedText(LONG_TOKENS));
  expect(summary.errors).toEqual([]);
});

test("A thawed VM sends nothing of a stream that another VM has taken over", async () => {
  const first = sendSummary("vm-1");
  await world.advance(1_000);
  world.network.freeze("vm-1");
  await world.advance(300);
  const newer = sendSummary("vm-2", { fromOffset: first.nextOffset });
  await world.advance(1_500);
  const sent = first.nextOffset;
  world.network.thaw("vm-1");
  await world.advance(10_000);
  expect(first.nextOffset).toBe(sent);
  expectSuperseded(first);
  expect(newer.last).toMatchObject({ kind: "end", totalTokens: LONG_TOKENS });
});
