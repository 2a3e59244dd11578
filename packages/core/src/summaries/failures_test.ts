import { expect, test } from "vitest";
import { planAfterFailure } from "./failures.ts";

test("A refused connection is a crash only after a lost connection", () => {
  const refused = { kind: "notSent" } as const;
  const run = { stage: "attaching", lost: true } as const;
  expect(planAfterFailure(refused, run)).toMatchObject({ crashed: true });
  const unreachable = planAfterFailure(refused, { ...run, lost: false });
  expect(unreachable).toMatchObject({ kind: "retry", crashed: false });
});

test("An unknown stream is a crash only after a lost connection, as a sweep may have cancelled it", () => {
  const unknownStream = { kind: "rejected", code: "unknown-stream" } as const;
  const plan = (lost: boolean) =>
    planAfterFailure(unknownStream, { stage: "attaching", lost });
  expect(plan(false)).toMatchObject({ kind: "retry", crashed: false });
  expect(plan(true)).toMatchObject({ kind: "retry", crashed: true });
});

test("A rejected start is reassigned with the prefill's result; a lost one may run and is attached to", () => {
  const full = { kind: "rejected", code: "full" } as const;
  const run = { stage: "starting", lost: false } as const;
  expect(planAfterFailure(full, run).kind).toBe("reassign");
  expect(planAfterFailure({ kind: "lost" }, run).kind).toBe("attach");
});
