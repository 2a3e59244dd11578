import { expect, test } from "vitest";
import { planAfterFailure } from "./failures.ts";

test("An engine that can't be reached counts as crashed only if the connection was lost before", () => {
  const notSent = { kind: "notSent" } as const;
  const run = { state: "attaching", lost: true } as const;
  expect(planAfterFailure(notSent, run)).toMatchObject({ crashed: true });
  const notLost = planAfterFailure(notSent, { ...run, lost: false });
  expect(notLost).toMatchObject({ kind: "retry", crashed: false });
});

test("An unknown stream counts as a crash only if the connection was lost before, as a sweep may have cancelled it", () => {
  const unknownStream = { kind: "rejected", code: "unknown-stream" } as const;
  const plan = (lost: boolean) =>
    planAfterFailure(unknownStream, { state: "attaching", lost });
  expect(plan(false)).toMatchObject({ kind: "retry", crashed: false });
  expect(plan(true)).toMatchObject({ kind: "retry", crashed: true });
});

test("A rejected start is reassigned to another decode replica; after a lost connection the run may exist and is attached to", () => {
  const full = { kind: "rejected", code: "full" } as const;
  const run = { state: "starting", lost: false } as const;
  expect(planAfterFailure(full, run).kind).toBe("reassign");
  expect(planAfterFailure({ kind: "lost" }, run).kind).toBe("attach");
});
