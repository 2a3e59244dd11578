import { type LogEvent, SILENT_OBSERVER } from "@teaselvalve/core";
import { expect, test, vi } from "vitest";
import { type Component, LifecycleManager } from "./manager.ts";

function createComponents(overrides: Record<string, Partial<Component>> = {}) {
  const steps: string[] = [];
  const log: LogEvent[] = [];
  const manager = new LifecycleManager({
    ...SILENT_OBSERVER,
    log: (event) => log.push(event),
  });
  const components = ["first", "second", "third"].map((name): Component => ({
    name,
    start: () => void steps.push(`start ${name}`),
    stop: () => void steps.push(`stop ${name}`),
    abort: () => void steps.push(`abort ${name}`),
    ...overrides[name],
  }));
  return { manager, components, steps, log };
}

function neverSettle(): Promise<void> {
  return new Promise(() => {});
}

function fail(): never {
  throw new Error("Broken");
}

const START_STEPS = ["start first", "start second", "start third"];

test("starts in order and stops in reverse order", async () => {
  const { manager, components, steps } = createComponents();
  await manager.start(components);
  await manager.stop();
  expect(steps).toEqual([
    ...START_STEPS,
    "stop third",
    "stop second",
    "stop first",
  ]);
});

test("a failed start stops the components started so far and the failed one", async () => {
  const { manager, components, steps } = createComponents({
    second: { start: fail },
  });
  await expect(manager.start(components)).rejects.toThrow("Broken");
  expect(steps).toEqual(["start first", "stop second", "stop first"]);
});

test("a failed stop does not prevent the others from stopping", async () => {
  const { manager, components, steps } = createComponents({
    second: { stop: fail },
  });
  await manager.start(components);
  await manager.stop();
  expect(steps).toEqual([
    ...START_STEPS,
    "stop third",
    "abort second",
    "stop first",
  ]);
});

test("each start and each stop has a time limit", async () => {
  vi.useFakeTimers();
  const { manager, components, steps, log } = createComponents({
    third: { stop: neverSettle, stopTimeoutMs: 1_000 },
  });
  await manager.start(components);
  const stopped = manager.stop();
  await vi.advanceTimersByTimeAsync(999);
  expect(steps).toEqual(START_STEPS);
  await vi.advanceTimersByTimeAsync(1);
  await stopped;
  expect(steps.slice(3)).toEqual(["abort third", "stop second", "stop first"]);
  expect(log).toContainEqual({
    event: "part-stop-timeout",
    level: "warn",
    part: "third",
  });
  const second = createComponents({
    first: { start: neverSettle, startTimeoutMs: 1_000 },
  });
  const started = expect(second.manager.start(second.components)).rejects
    .toThrow(
      "first did not start within 1000 ms",
    );
  await vi.advanceTimersByTimeAsync(1_000);
  await started;
  vi.useRealTimers();
});
