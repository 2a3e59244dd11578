import { expect, test } from "vitest";
import { PrefixHints } from "./prefix_hints.ts";

test("A gap in the sequence numbers of cache events drops all hints", () => {
  const hints = new PrefixHints();
  hints.applyEvents([
    { sequence: 1, kind: "added", block: "a" },
    { sequence: 2, kind: "added", block: "b" },
  ], 0);
  expect(hints.cachedTokens(["a", "b", "c"], 0)).toBe(64);
  hints.applyEvents([{ sequence: 4, kind: "added", block: "c" }], 0);
  expect(hints.cachedTokens(["a", "b", "c"], 0)).toBe(0);
});

test("Hints expire", () => {
  const hints = new PrefixHints();
  hints.add(["a"], 0);
  expect(hints.cachedTokens(["a"], 1_000)).toBe(32);
  expect(hints.cachedTokens(["a"], 1_000_000)).toBe(0);
});
