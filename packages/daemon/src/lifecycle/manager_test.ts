import { type LogEvent, SILENT_OBSERVER } from "@teaselvalve/core";
import { expect, test, vi } from "vitest";
import { type Component, LifecycleManager } from "./manager.ts";

function createParts(overrides: Record<string, Partial<Component>> = {}) {
  const steps: string[] = [];
  const log: LogEvent[] = [];
  const manager = new LifecycleManager({
    ...SILENT_OBSERVER,
    log: (event) => log.push(event),
  });
  const parts = ["first", "second", "third"].map((name): Component => ({
    name,
    start: () => void steps.push(`start ${name}`),
    stop: () => void steps.push(`stop ${name}`),
    abort: () => void steps.push(`abort ${name}`),
    ...overrides[name],
  }));
  return { manager, parts, steps, log };
}

function never(): Promise<void> {
  return new Promise(() => {});
}

function fail(): never {
  throw new Error("Broken");
}

const WHOLE = ["start first", "start second", "start third"];

test("starts in order and stops in reverse", async () => {
  const { manager, parts, steps } = createParts();
  await manager.start(parts);
  await manager.stop();
  expect(steps).toEqual([...WHOLE, "stop third", "stop second", "stop first"]);
});

test("a start that fails stops what was started, the failed part included", async () => {
  const { manager, parts, steps } = createParts({ second: { start: fail } });
  await expect(manager.start(parts)).rejects.toThrow("Broken");
  expect(steps).toEqual(["start first", "stop second", "stop first"]);
});

test("a stop that fails does not keep the others from stopping", async () => {
  const { manager, parts, steps } = createParts({ second: { stop: fail } });
  await manager.start(parts);
  await manager.stop();
  expect(steps).toEqual([
    ...WHOLE,
    "stop third",
    "abort second",
    "stop first",
  ]);
});

test("each step has a time limit", async () => {
  vi.useFakeTimers();
  const { manager, parts, steps, log } = createParts({
    third: { stop: never, stopTimeoutMs: 1_000 },
  });
  await manager.start(parts);
  const stopped = manager.stop();
  await vi.advanceTimersByTimeAsync(999);
  expect(steps).toEqual(WHOLE);
  await vi.advanceTimersByTimeAsync(1);
  await stopped;
  expect(steps.slice(3)).toEqual(["abort third", "stop second", "stop first"]);
  expect(log).toContainEqual({
    event: "part-stop-timeout",
    level: "warn",
    part: "third",
  });
  const second = createParts({
    first: { start: never, startTimeoutMs: 1_000 },
  });
  const started = expect(second.manager.start(second.parts)).rejects.toThrow(
    "first did not start within 1000 ms",
  );
  await vi.advanceTimersByTimeAsync(1_000);
  await started;
  vi.useRealTimers();
});
