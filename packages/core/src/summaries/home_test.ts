import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { asId } from "../common/ids.ts";
import { ANSWERED_RETENTION_MS, SummariesHome } from "./home.ts";
import type { Registration } from "./types.ts";

let home: SummariesHome;
let replaced: string[];

beforeEach(() => {
  vi.useFakeTimers();
  replaced = [];
  home = new SummariesHome({
    onReplaced: (older, newer) =>
      replaced.push(`${older.owner.vm} by ${newer.owner.vm}`),
  });
});

afterEach(() => vi.useRealTimers());

function registrationOf(
  vm: string,
  epoch: number,
  changes: Partial<Registration> = {},
): Registration {
  return {
    key: asId("lenders/lender-1/summary-1"),
    caller: asId("lender-1"),
    bodyDigest: asId("body-1"),
    owner: { vm: asId(vm), incarnation: asId(`${vm}-boot`) },
    epoch,
    state: "running",
    run: null,
    ...changes,
  };
}

function register(registration: Registration, takeOver = false) {
  return home.register({ registration, takeOver }).kind;
}

test("Only a takeover with a higher epoch replaces the owner of a running summary, and the home reports it", () => {
  expect(register(registrationOf("vm-1", 1))).toBe("new");
  expect(register(registrationOf("vm-2", 2))).toBe("exists");
  expect(register(registrationOf("vm-2", 1), true)).toBe("exists");
  expect(register(registrationOf("vm-2", 2), true)).toBe("new");
  expect(register(registrationOf("vm-1", 1), true)).toBe("exists");
  expect(replaced).toEqual(["vm-1 by vm-2"]);
});

test("A request with another body neither replaces a registration nor frees its key", () => {
  register(registrationOf("vm-1", 1));
  const other = { bodyDigest: asId<Registration["bodyDigest"]>("body-2") };
  expect(register(registrationOf("vm-2", 5, other), true)).toBe("exists");
  const cancelled = { ...other, state: "cancelled" } as const;
  expect(register(registrationOf("vm-2", 6, cancelled), true)).toBe("exists");
  expect(home.find(registrationOf("vm-1", 1).key)?.owner.vm).toBe("vm-1");
});

test("An answered key is kept for its retention time and can then be claimed", () => {
  register(registrationOf("vm-1", 1));
  register(registrationOf("vm-1", 1, { state: "answered" }), true);
  vi.advanceTimersByTime(ANSWERED_RETENTION_MS - 1);
  expect(register(registrationOf("vm-1", 2))).toBe("exists");
  vi.advanceTimersByTime(1);
  expect(register(registrationOf("vm-2", 3))).toBe("new");
  expect(replaced).toEqual([]);
});

test("A registration by the owner as cancelled frees the key", () => {
  register(registrationOf("vm-1", 1));
  expect(register(registrationOf("vm-1", 1, { state: "cancelled" }), true))
    .toBe("new");
  expect(home.find(registrationOf("vm-1", 1).key)).toBeNull();
});
