import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId, type EndpointId } from "../../common/ids.ts";
import { ShardFigures } from "./shard_figures.ts";

const ENGINES = ["a", "b"].map((id) => asId<EndpointId>(id));

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

test("A figure is computed at most every 100 ms, however many VMs ask", () => {
  const heldTokens = vi.fn(() => 700);
  const figures = new ShardFigures(heldTokens);
  for (let n = 0; n < 20; n += 1) {
    const told = figures.tellOf("s", ENGINES);
    expect(told).toEqual({ load: { engines: 2, heldTokens: 700 } });
    figures.tell("s");
    vi.advanceTimersByTime(10);
  }
  expect(heldTokens).toHaveBeenCalledTimes(2);
});

test("Answers to load reports tell of the engines that VMs asked for lately, and of none after that", () => {
  const figures = new ShardFigures((engines) => 100 * engines.length);
  expect(figures.tell("s")).toEqual({});
  figures.tellOf("s", ENGINES);
  vi.advanceTimersByTime(4_000);
  expect(figures.tell("s")).toEqual({ load: { engines: 2, heldTokens: 200 } });
  vi.advanceTimersByTime(4_000);
  expect(figures.tell("s")).toEqual({});
});

test("A request that may use no engine gets no figure", () => {
  expect(new ShardFigures(() => 0).tellOf("s", [])).toEqual({});
});
