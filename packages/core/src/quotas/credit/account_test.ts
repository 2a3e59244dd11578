import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../../common/ids.ts";
import { CreditAccount } from "./account.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const VM = asId<never>("vm-1");
const TERMS = {
  quota: {
    unit: "requests" as const,
    perSecond: 10,
    burst: 10,
    plainTokens: 200,
  },
  share: 1,
};

async function earn(account: CreditAccount, forMs: number) {
  await vi.advanceTimersByTimeAsync(forMs);
  account.fill(TERMS);
}

function takeAll(account: CreditAccount): number {
  let taken = 0;
  while (account.take(1)) taken += 1;
  return taken;
}

test("A new account is empty and fills up to its burst", async () => {
  const account = new CreditAccount(TERMS);
  expect(account.level).toBe(0);
  await earn(account, 500);
  expect(account.level).toBeCloseTo(5);
  await earn(account, 60_000);
  expect(account.level).toBe(10);
});

test("A debt is paid before another request is charged", async () => {
  const account = new CreditAccount(TERMS);
  await earn(account, 2_000);
  expect(account.take(12)).toBe(true);
  expect(account.level).toBe(-2);
  expect(account.take(1)).toBe(false);
  expect(account.waitMs(1)).toBeCloseTo(200);
  await earn(account, 200);
  expect(account.take(1)).toBe(true);
});

test.each([0.1, 0.5, 4])(
  "Requests that are larger than an account of %s per second are run at that rate",
  async (perSecond) => {
    const terms = { quota: { ...TERMS.quota, perSecond, burst: 0 }, share: 1 };
    const account = new CreditAccount(terms);
    let taken = 0;
    for (let elapsedMs = 0; elapsedMs < 100_000; elapsedMs += 50) {
      await vi.advanceTimersByTimeAsync(50);
      account.fill(terms);
      taken += takeAll(account);
    }
    expect(taken / (100 * perSecond)).toBeGreaterThan(0.9);
    expect(taken / (100 * perSecond)).toBeLessThanOrEqual(1);
  },
);

test("A request that the bound has no room for is refused, and delays no other one's retry", async () => {
  const account = new CreditAccount(TERMS);
  await earn(account, 2_000);
  expect(account.take(1e300)).toBe(false);
  expect(account.scheduleRetry(1e300)).toBe(30_000);
  takeAll(account);
  expect(account.scheduleRetry(1)).toBeLessThan(200);
});

test("Leased credit counts towards the burst until it is returned or was forgotten", async () => {
  const account = new CreditAccount(TERMS);
  await earn(account, 2_000);
  const untilMs = performance.now() + 5_000;
  account.lease(VM, { amount: 4, untilMs });
  await earn(account, 4_000);
  expect(account.level).toBe(6);
  account.endLease(VM, 1);
  expect(account.level).toBe(7);
  account.lease(VM, { amount: 2, untilMs });
  await earn(account, 1_100);
  expect(account.level).toBe(10);
});

test("Retries are scheduled one after the other", () => {
  const account = new CreditAccount(TERMS);
  account.charge(1);
  const times = [1, 1, 1].map((cost) => account.scheduleRetry(cost));
  expect(times).toEqual([100, 200, 300]);
});
