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

const LONG = 400;

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

function ask(vm: string, wanted: Partial<SummaryRequest> = {}): CallerSummary {
  return world.sendSummary(vm, {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId("summary-1"),
    model: asId(MODEL),
    prompt: promptOf(LONG),
    maxTokens: 1_000,
    fromOffset: 0,
    deadlineAtMs: Date.now() + 20_000,
    ...wanted,
  });
}

/** The answer to a prompt, whole or up to an offset. */
function whole(tokens: number, upTo = tokens): string {
  const prompt = { text: promptOf(tokens), tokens: 0, blocks: [] };
  return expectedAnswer(prompt, upTo);
}

function held(): number {
  return [...world.engines.values()].flatMap((one) => one.heldRuns()).length;
}

function expectSuperseded(summary: CallerSummary): void {
  expect(summary.last).toMatchObject({
    kind: "refused",
    refusal: { reason: "superseded" },
  });
}

for (const second of ["vm-1", "vm-2"]) {
  test(`The same key again at ${second} takes the stream over from its offset`, async () => {
    const first = ask("vm-1");
    await world.advance(1_000);
    const fromOffset = first.nextOffset;
    expect(fromOffset).toBeGreaterThan(10);
    const newer = ask(second, { fromOffset });
    await world.advance(10_000);
    expectSuperseded(first);
    expect(newer.last).toMatchObject({ kind: "end", totalTokens: LONG });
    const before = whole(LONG, fromOffset);
    expect(first.text.startsWith(before)).toBe(true);
    expect(before + newer.text).toBe(whole(LONG));
    expect([...first.errors, ...newer.errors]).toEqual([]);
    expect(counts.get("retries engine-crashed")).toBeUndefined();
  });
}

test("Another body under the key is refused, and another caller learns nothing of it", async () => {
  const first = ask("vm-1");
  await world.advance(500);
  const other = ask("vm-2", { prompt: promptOf(30) });
  const stranger = ask("vm-3", { caller: asId("lender-2") });
  await world.advance(200);
  const resumer = ask("vm-3", { caller: asId("lender-3"), fromOffset: 4 });
  await world.advance(10_000);
  expect(other.last).toMatchObject({ refusal: { reason: "key-reused" } });
  expect(resumer.last).toMatchObject({ refusal: { reason: "not-found" } });
  expect(first.last).toMatchObject({ kind: "end", totalTokens: LONG });
  expect(first.text).toBe(whole(LONG));
  expect(stranger.text).toBe(whole(LONG));
});

test("A finished answer can be read again from any offset while its text is kept", async () => {
  ask("vm-1", { prompt: promptOf(40) });
  await world.advance(3_000);
  const rest = ask("vm-2", { prompt: promptOf(40), fromOffset: 39 });
  await world.advance(1_000);
  expect(rest.last).toMatchObject({ kind: "end", totalTokens: 40 });
  expect(rest.text).toBe(whole(40).slice(whole(40, 39).length));
  const orders = () =>
    [...world.engines.values()].reduce((sum, one) => sum + one.ordersSeen, 0);
  expect(orders()).toBe(2);
  const again = ask("vm-3", { prompt: promptOf(40) });
  await world.advance(1_000);
  expect(again.text).toBe(whole(40));
  expect(orders()).toBe(2);
});

test("A caller whose VM dies gets the running stream at another VM", async () => {
  const first = ask("vm-1");
  await world.advance(2_500);
  world.killVm("vm-1");
  await world.advance(200);
  const newer = ask("vm-2", { fromOffset: first.nextOffset });
  await world.advance(12_000);
  expect(first.broken).toBe(true);
  expect(newer.last).toMatchObject({ kind: "end", totalTokens: LONG });
  expect(first.text + newer.text).toBe(whole(LONG));
  expect(counts.get("cancels orphan")).toBeUndefined();
});

test.each(["vm-1", "vm-2", "vm-3"])(
  "Nothing is held 5 s after %s dies and its caller stays away",
  async (vm) => {
    for (let at = 0; at < 4; at += 1) {
      ask(vm, { request: asId(`long-${at}`), prompt: promptOf(900 + at) });
      await world.advance(200);
    }
    expect(held()).toBe(4);
    world.killVm(vm);
    await world.advance(5_000);
    expect(held()).toBe(0);
  },
);

test("A cancel is repeated until the engine can be reached", async () => {
  const summary = ask("vm-1", { prompt: promptOf(900) });
  await world.advance(500);
  for (const engine of world.engines.keys()) world.network.cut("vm-1", engine);
  summary.close();
  await world.advance(3_000);
  expect(held()).toBe(1);
  for (const engine of world.engines.keys()) {
    world.network.heal("vm-1", engine);
  }
  await world.advance(2_000);
  expect(held()).toBe(0);
});

test("A stream on a connection that went silent goes on over a new one", async () => {
  const summary = ask("vm-1");
  await world.advance(1_000);
  for (const engine of world.engines.keys()) {
    world.network.silence("vm-1", engine);
  }
  await world.advance(10_000);
  expect(summary.text).toBe(whole(LONG));
  expect(counts.get("retries engine-crashed")).toBeUndefined();
});

test("A transfer that stalls is tried once more at another decode replica", async () => {
  const prefills = [...world.engines.values()].filter((one) => "link" in one);
  for (const engine of prefills) engine.link.stall(true);
  const summary = ask("vm-1", { prompt: promptOf(30) });
  await world.advance(450);
  for (const engine of prefills) engine.link.stall(false);
  await world.advance(3_000);
  expect(summary.text).toBe(whole(30));
  expect(counts.get("retries transfer-failed")).toBe(1);
  const prefilled = prefills.reduce((sum, one) => sum + one.ordersSeen, 0);
  expect(prefilled).toBe(1);
});

test("An answer goes on after its decode replica crashed, if the text agrees", async () => {
  const summary = ask("vm-1");
  await world.advance(1_500);
  const [address] = [...world.engines].find(([, one]) =>
    one.role === "decode" && one.heldRuns().length > 0
  )!;
  world.crashEngine(address);
  await world.advance(12_000);
  expect(summary.text).toBe(whole(LONG));
  expect(summary.errors).toEqual([]);
});

test("A VM that was frozen sends nothing of a stream that another has taken over", async () => {
  const first = ask("vm-1");
  await world.advance(1_000);
  world.network.freeze("vm-1");
  await world.advance(300);
  const newer = ask("vm-2", { fromOffset: first.nextOffset });
  await world.advance(1_500);
  const sent = first.nextOffset;
  world.network.thaw("vm-1");
  await world.advance(10_000);
  expect(first.nextOffset).toBe(sent);
  expectSuperseded(first);
  expect(newer.last).toMatchObject({ kind: "end", totalTokens: LONG });
});
