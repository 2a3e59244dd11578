import { expect, test } from "vitest";
import { asId } from "../../common/ids.ts";
import type { Member } from "../types.ts";
import { HomeRanking } from "./home.ts";

function members(count: number): Member[] {
  return Array.from({ length: count }, (_, at) => ({
    id: asId(`vm-${at + 1}`),
    incarnation: null,
    dataCentre: asId("espoo-b"),
    region: asId("suomi-etela"),
    callerAddress: `vm-${at + 1}:1`,
    peerAddress: `vm-${at + 1}:2`,
    state: "live",
  }));
}

test("Every order of members gives the same home", () => {
  const all = members(9);
  const one = new HomeRanking(all);
  const other = new HomeRanking([...all].reverse());
  for (let at = 0; at < 500; at += 1) {
    expect(other.homeOf(`key-${at}`)!.id).toBe(one.homeOf(`key-${at}`)!.id);
  }
});

test("A VM that goes moves only its own keys, and keys are spread evenly", () => {
  const all = members(9);
  const before = new HomeRanking(all);
  const after = new HomeRanking(all.filter(({ id }) => id !== "vm-3"));
  const counts = new Map<string, number>();
  for (let at = 0; at < 9_000; at += 1) {
    const home = before.homeOf(`key-${at}`)!.id;
    counts.set(home, (counts.get(home) ?? 0) + 1);
    if (home !== "vm-3") expect(after.homeOf(`key-${at}`)!.id).toBe(home);
  }
  expect(Math.min(...counts.values())).toBeGreaterThan(800);
  expect(Math.max(...counts.values())).toBeLessThan(1_200);
});
