import { expect, test } from "vitest";
import {
  compareWaiting,
  fairLevel,
  type OrderedStream,
} from "./waiting_order.ts";

function ordered(options: Partial<OrderedStream>): OrderedStream {
  return {
    rank: 1,
    isOverShare: false,
    latestMs: 500,
    usedTokens: 0,
    ...options,
  };
}

test("Streams are ordered by priority, fair share, latest start and use, in this order", () => {
  const expected = [
    ordered({ rank: 0, isOverShare: true, latestMs: 900, usedTokens: 9 }),
    ordered({ latestMs: 400, usedTokens: 9 }),
    ordered({ latestMs: 500, usedTokens: 1 }),
    ordered({ latestMs: 500, usedTokens: 2 }),
    ordered({ isOverShare: true, latestMs: 100 }),
    ordered({ rank: 2, latestMs: 100 }),
  ];
  expect([...expected].reverse().sort(compareWaiting)).toEqual(expected);
});

test("Only demands above the fair level are capped, by their weights", () => {
  const demand = (amount: number, weight = 1) => ({ amount, weight });
  expect(fairLevel([demand(5), demand(10)], 15)).toBe(Infinity);
  expect(fairLevel([demand(2), demand(10), demand(10)], 12)).toBe(5);
  expect(fairLevel([demand(20, 4), demand(20, 1)], 15)).toBe(3);
  expect(fairLevel([], 0)).toBe(Infinity);
});
