import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { SilenceWatch } from "./silence_watch.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const LIMIT_MS = 1_000;

function createWatch() {
  const onSilent = vi.fn();
  const onFault = vi.fn();
  const watch = new SilenceWatch({ limitMs: LIMIT_MS, onSilent, onFault });
  return { watch, onSilent, onFault };
}

test("A silence is reported after its limit and then repeatedly, until the next arrival", async () => {
  const { watch, onSilent } = createWatch();
  watch.start();
  await vi.advanceTimersByTimeAsync(LIMIT_MS - 1);
  expect(onSilent).not.toHaveBeenCalled();
  await vi.advanceTimersByTimeAsync(600);
  expect(onSilent).toHaveBeenCalledTimes(3);
  watch.restart();
  await vi.advanceTimersByTimeAsync(LIMIT_MS - 1);
  expect(onSilent).toHaveBeenCalledTimes(3);
});

test("Bytes that are read right after a freeze prevent the report", async () => {
  const { watch, onSilent } = createWatch();
  watch.start();
  // The timer is due at the same time as the first bytes after the freeze.
  setTimeout(() => watch.restart(), LIMIT_MS);
  await vi.advanceTimersByTimeAsync(LIMIT_MS);
  expect(onSilent).not.toHaveBeenCalled();
});

test("Nothing is reported while the watch is stopped, or after its end", async () => {
  const { watch, onSilent } = createWatch();
  watch.start();
  watch.stop();
  await vi.advanceTimersByTimeAsync(2 * LIMIT_MS);
  watch.restart();
  watch.end();
  watch.restart();
  await vi.advanceTimersByTimeAsync(2 * LIMIT_MS);
  expect(onSilent).not.toHaveBeenCalled();
});

test("An exception of a report is told, and ends no process", async () => {
  const { watch, onSilent, onFault } = createWatch();
  const error = new Error("broken report");
  onSilent.mockImplementation(() => {
    throw error;
  });
  watch.start();
  await vi.advanceTimersByTimeAsync(2 * LIMIT_MS);
  watch.end();
  expect(onFault).toHaveBeenCalledWith(error);
});
