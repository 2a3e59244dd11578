import { expect, test } from "vitest";
import { capacityOf, costOf, debtLimitOf } from "./cost.ts";

const QUOTA = {
  unit: "tokens" as const,
  perSecond: 10_000,
  burst: 20_000,
  plainTokens: 200,
};

test.each([
  [3_710, 3_710],
  [null, 200],
  [0, 200],
  [-5, 200],
  [NaN, 200],
  [Infinity, 200],
  [1e300, 1e300],
])("A request of %s tokens costs %s", (tokens, cost) => {
  expect(costOf(QUOTA, { tokens })).toBe(cost);
  const quota = { ...QUOTA, unit: "requests" as const };
  expect(costOf(quota, { tokens })).toBe(1);
});

test.each([
  ["tokens" as const, 246_211, 246_211],
  ["tokens" as const, 4_000, 0],
  ["tokens" as const, 500, 100],
  ["requests" as const, 10, 10],
  ["requests" as const, 10, 0],
  ["requests" as const, 0.5, 0],
])(
  "Accounts in %s at %s per second with a burst of %s leave the bound room for two homes",
  (unit, perSecond, burst) => {
    const quota = { ...QUOTA, unit, perSecond, burst };
    const slack = unit === "tokens" ? 190_000 : 0;
    const bound = (8 * perSecond + burst) * 1.1 + slack;
    const terms = { quota, share: 1 };
    const most = 8 * perSecond + capacityOf(terms) + debtLimitOf(terms);
    expect(most).toBeLessThan(bound);
  },
);
