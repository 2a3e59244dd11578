import { asId } from "@teaselvalve/core";
import { expectedAnswer, PlainService } from "@teaselvalve/fakes";
import { afterEach, expect, test } from "vitest";
import { MODEL, SERVICE, World } from "./world.ts";

let world: World | undefined;

afterEach(() => world?.close());

test("A world answers a summary and a filing", async () => {
  world = await World.create({ seed: 1 });
  const prompt = "Summarise [length=20]";
  const summary = world.sendSummary("vm-2", {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId("summary-1"),
    model: asId(MODEL),
    prompt,
    maxTokens: 100,
    fromOffset: 0,
    deadlineAtMs: Date.now() + 10_000,
  });
  const call = world.sendCall("vm-3", {
    workspace: asId("lenders"),
    caller: asId("lender-1"),
    request: asId("filing-1"),
    service: asId(SERVICE),
    method: "POST",
    path: "/filings",
    contentType: "application/json",
    body: "{}",
    deadlineAtMs: Date.now() + 10_000,
  });
  await world.advance(2_000);
  expect(summary.last).toMatchObject({ kind: "end", totalTokens: 20 });
  expect(summary.text).toBe(
    expectedAnswer({ text: prompt, tokens: 0, blocks: [] }, 20),
  );
  expect(summary.errors).toEqual([]);
  expect(call.verdict?.isOk()).toBe(true);
  const runs = [...world.services.values()].reduce(
    (sum, service: PlainService) => sum + service.runs.length,
    0,
  );
  expect(runs).toBe(1);
});
