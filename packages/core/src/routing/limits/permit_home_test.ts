import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../../common/ids.ts";
import type { Member, VmIdentity } from "../../membership/types.ts";
import { PermitHome } from "./permit_home.ts";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const SELF = { id: "vm-1", region: "r", state: "live" } as unknown as Member;
const OTHER = { id: "vm-2", region: "r", state: "live" } as unknown as Member;
const REQUEST = {
  endpoint: asId<never>("e 1"),
  requests: 1,
  known: { limitPerSecond: 10, ageMs: 0 },
};

function setUp() {
  const view = { home: SELF };
  const home = new PermitHome({
    membership: {
      self: SELF as unknown as VmIdentity,
      members: () => [SELF, OTHER],
      homeOf: () => view.home,
    },
  });
  return { home, view };
}

async function countGrants(home: PermitHome, durationMs: number) {
  let granted = 0;
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 10) {
    home.noteContact();
    if (home.grant(REQUEST).granted) granted += 1;
    await vi.advanceTimersByTimeAsync(10);
  }
  return granted;
}

test("A VM that is not the home of an endpoint grants nothing", async () => {
  const { home, view } = setUp();
  view.home = OTHER;
  expect(await countGrants(home, 5_000)).toBe(0);
});

test("A VM that becomes the home of an endpoint waits until the one before it has stopped", async () => {
  const { home, view } = setUp();
  await vi.advanceTimersByTimeAsync(10_000);
  view.home = OTHER;
  home.noteViewChange();
  expect(await countGrants(home, 1_000)).toBe(0);
  view.home = SELF;
  home.noteViewChange();
  expect(await countGrants(home, 1_900)).toBe(0);
  expect(await countGrants(home, 4_000)).toBeGreaterThanOrEqual(36);
});

test("A home that stays one through a change of the view goes on granting", async () => {
  const { home } = setUp();
  await vi.advanceTimersByTimeAsync(10_000);
  await countGrants(home, 1_000);
  home.noteViewChange();
  expect(await countGrants(home, 1_000)).toBeGreaterThanOrEqual(9);
});
