/** Engines that send nothing for a while and then go on. */
import { asId, type SummaryRequest } from "@teaselvalve/core";
import { CURRENT_PROFILE, expectedAnswer } from "@teaselvalve/fakes";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { CallerSummary } from "./caller.ts";
import { MODEL, World } from "./world.ts";

const TOKENS = 400;
const SILENCE_MS = 2_000;
const DEADLINE_MS = 40_000;
const PROMPT = `Summarise [length=${TOKENS}]`;
const ANSWER = expectedAnswer({ text: PROMPT, tokens: 0, blocks: [] }, TOKENS);

let world: World;

beforeEach(async () => {
  world = await World.create({ seed: 1 });
});

afterEach(() => world.close());

function sendSummary(
  vm: string,
  overrides: Partial<SummaryRequest> = {},
): CallerSummary {
  return world.sendSummary(vm, {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId("summary-1"),
    model: asId(MODEL),
    prompt: PROMPT,
    maxTokens: 1_000,
    fromOffset: 0,
    deadlineAtMs: Date.now() + DEADLINE_MS,
    ...overrides,
  });
}

/** Takes all retries of the callers' workspace at a VM. */
function spendRetries(vm: string): void {
  const { retries } = world.vms.get(vm)!;
  while (retries.take(asId("lenders"), "engine-refused"));
}

/** Returns the address of a decode engine that holds a run. */
function findDecodeEngine(): string {
  const [address] = [...world.engines].find(([, engine]) =>
    engine.role === "decode" && engine.heldRuns().length > 0
  )!;
  return address;
}

/** Starts a summary at one VM and resumes it at another. */
async function resumeSummary(): Promise<CallerSummary> {
  const first = sendSummary("vm-1");
  await world.advance(1_000);
  const resumed = sendSummary("vm-2", { fromOffset: first.nextOffset });
  await world.advance(500);
  expect(resumed.nextOffset).toBeGreaterThan(first.nextOffset);
  return resumed;
}

/** Freezes the decode engine that holds the run; its connections stay open. */
async function silenceDecodeEngine(silenceMs: number): Promise<void> {
  const address = findDecodeEngine();
  world.network.freeze(address);
  await world.advance(silenceMs);
  world.network.thaw(address);
}

function expectWhole(summary: CallerSummary, text: string): void {
  expect(summary.last).toEqual({
    kind: "end",
    totalTokens: TOKENS,
    finish: "stop",
  });
  expect(summary.text).toBe(text);
  expect(summary.errors).toEqual([]);
}

test("An answer outlasts a silence of its engine when the retry budget is spent", async () => {
  const summary = sendSummary("vm-1");
  await world.advance(1_000);
  expect(summary.nextOffset).toBeGreaterThan(0);
  spendRetries("vm-1");
  await silenceDecodeEngine(SILENCE_MS);
  await world.advance(DEADLINE_MS / 2);
  expectWhole(summary, ANSWER);
});

test("An answer that cannot be restarted outlasts a silence of its engine", async () => {
  const resumed = await resumeSummary();
  await silenceDecodeEngine(SILENCE_MS);
  await world.advance(DEADLINE_MS / 2);
  const { fromOffset } = resumed.request;
  const before = expectedAnswer(
    { text: PROMPT, tokens: 0, blocks: [] },
    fromOffset,
  );
  expectWhole(resumed, ANSWER.slice(before.length));
});

test("An answer outlasts a silence of its engine when no other engine has a place", async () => {
  const summary = sendSummary("vm-1");
  await world.advance(1_000);
  for (const engine of world.engines.values()) {
    const holdsRun = engine.heldRuns().length > 0;
    if (engine.role === "decode" && !holdsRun) engine.leave();
  }
  await world.advance(1_000);
  await silenceDecodeEngine(SILENCE_MS);
  await world.advance(DEADLINE_MS / 2);
  expectWhole(summary, ANSWER);
});

test("A request whose engine is silent during the transfer is answered when the retry budget is spent", async () => {
  const prefills = [...world.engines.values()].filter((engine) =>
    "link" in engine
  );
  for (const engine of prefills) engine.link.stall(true);
  const summary = sendSummary("vm-1");
  spendRetries("vm-1");
  await world.advance(SILENCE_MS);
  for (const engine of prefills) engine.link.stall(false);
  await world.advance(DEADLINE_MS / 2);
  expectWhole(summary, ANSWER);
});

test("An answer that cannot be restarted ends at once when its silent engine is lost", async () => {
  const resumed = await resumeSummary();
  const address = findDecodeEngine();
  world.network.freeze(address);
  await world.advance(SILENCE_MS);
  expect(resumed.last).toBeUndefined();
  world.crashEngine(address);
  await world.advance(500);
  expect(resumed.last).toMatchObject({
    kind: "refused",
    refusal: { kind: "mayHaveRun", reason: "engine-crashed" },
  });
});

test("An answer whose engine stays silent ends at the deadline, and nothing stays held", async () => {
  const summary = sendSummary("vm-1");
  await world.advance(1_000);
  spendRetries("vm-1");
  const address = findDecodeEngine();
  world.network.freeze(address);
  await world.advance(DEADLINE_MS);
  expect(summary.last).toMatchObject({
    kind: "refused",
    refusal: { kind: "mayHaveRun", reason: "deadline-passed" },
  });
  world.network.thaw(address);
  await world.advance(2_000);
  const held = [...world.engines.values()].flatMap((one) => one.heldRuns());
  expect(held).toEqual([]);
});

test("An answer outlasts a silence of its engine when others wait for its place", async () => {
  world.close();
  world = await World.create({
    seed: 1,
    decodes: 2,
    profile: { ...CURRENT_PROFILE, decodeSlots: 2 },
  });
  const summary = sendSummary("vm-1");
  await world.advance(1_000);
  expect(summary.nextOffset).toBeGreaterThan(0);
  const address = findDecodeEngine();
  world.network.freeze(address);
  for (let number = 1; number <= SILENCE_MS / 100; number += 1) {
    sendSummary("vm-2", { request: asId(`other-${number}`) });
    await world.advance(100);
  }
  world.network.thaw(address);
  await world.advance(DEADLINE_MS / 2);
  expectWhole(summary, ANSWER);
});
