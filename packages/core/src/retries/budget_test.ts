import { expect, test } from "vitest";
import { asId, type WorkspaceId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";
import { backOffMs, RetryBudget } from "./budget.ts";

const LENDERS = asId<WorkspaceId>("lenders");
const OFFICES = asId<WorkspaceId>("offices");

test("Retries are limited to a share of the admitted requests, separately for each workspace", () => {
  const counts = new Map<string, number>();
  const context = {
    observer: {
      log() {},
      count: (_counter: string, reason: string) =>
        counts.set(reason, (counts.get(reason) ?? 0) + 1),
    },
  } as unknown as VmContext;
  const budget = new RetryBudget(context, { share: () => 0.1 });
  let retries = 0;
  for (let request = 0; request < 1_000; request += 1) {
    budget.recordAdmitted(LENDERS);
    if (budget.take(LENDERS, "engine-crashed")) retries += 1;
  }
  expect(retries).toBeGreaterThanOrEqual(100);
  expect(retries).toBeLessThanOrEqual(105);
  expect(counts.get("engine-crashed")).toBe(retries);
  expect(counts.get("spent-engine-crashed")).toBe(1_000 - retries);
  expect(budget.take(OFFICES, "engine-crashed")).toBe(true);
});

test("The back-off doubles, is jittered and is bounded", () => {
  expect(backOffMs(1, { random: () => 0 })).toBe(25);
  expect(backOffMs(1, { random: () => 1 })).toBe(50);
  expect(backOffMs(3, { random: () => 0.5 })).toBe(150);
  expect(backOffMs(30, { random: () => 1 })).toBe(2_000);
});
