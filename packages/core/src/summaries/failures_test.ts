import { expect, test } from "vitest";
import { planAfterFailure } from "./failures.ts";

test("Only a lost connection followed by a refused one is a crash", () => {
  const refused = { kind: "notSent" } as const;
  const at = { stage: "attaching", lost: true } as const;
  expect(planAfterFailure(refused, at)).toMatchObject({ crashed: true });
  const cut = planAfterFailure(refused, { ...at, lost: false });
  expect(cut).toMatchObject({ kind: "retry", crashed: false });
});

test("A swept run that is gone is no crash, one that went with its connection is", () => {
  const gone = { kind: "rejected", code: "unknown-stream" } as const;
  const plan = (lost: boolean) =>
    planAfterFailure(gone, { stage: "attaching", lost });
  expect(plan(false)).toMatchObject({ kind: "retry", crashed: false });
  expect(plan(true)).toMatchObject({ kind: "retry", crashed: true });
});

test("A refused start keeps the prefill's result, a lost one may run", () => {
  const full = { kind: "rejected", code: "full" } as const;
  const at = { stage: "starting", lost: false } as const;
  expect(planAfterFailure(full, at).kind).toBe("reassign");
  expect(planAfterFailure({ kind: "lost" }, at).kind).toBe("attach");
});
