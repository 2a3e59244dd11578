import { expect, test } from "vitest";
import { capacityOf, costOf, debtLimitOf } from "./cost.ts";

const QUOTA = {
  unit: "tokens" as const,
  perSecond: 10_000,
  burst: 20_000,
  plainTokens: 200,
};

test.each([
  [3_200, 510, 3_710],
  [0, 510, 510],
  [null, null, 200],
  [null, 510, 200],
  [3_200, null, 200],
  // What decoders give for counts that are missing or malformed.
  [0, 0, 200],
  [-5, 510, 200],
  [NaN, 510, 200],
  [Infinity, 510, 200],
  [1e300, 1, 1e300],
])(
  "A request of %s and %s tokens costs %s",
  (promptTokens, maxOutputTokens, cost) => {
    expect(costOf(QUOTA, { promptTokens, maxOutputTokens })).toBe(cost);
    const quota = { ...QUOTA, unit: "requests" as const };
    expect(costOf(quota, { promptTokens, maxOutputTokens })).toBe(1);
  },
);

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
