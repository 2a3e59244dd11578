import { expect, test } from "vitest";
import { asId } from "../../common/ids.ts";
import type { Member } from "../types.ts";
import { HomeRanking } from "./home.ts";

function members(count: number): Member[] {
  return Array.from({ length: count }, (_, index) => ({
    id: asId(`vm-${index + 1}`),
    incarnation: null,
    dataCentre: asId("espoo-b"),
    region: asId("suomi-etela"),
    callerAddress: `vm-${index + 1}:1`,
    peerAddress: `vm-${index + 1}:2`,
    state: "live",
  }));
}

test("The home does not depend on the order of the members", () => {
  const all = members(9);
  const ranking = new HomeRanking(all);
  const reversedRanking = new HomeRanking([...all].reverse());
  for (let index = 0; index < 500; index += 1) {
    expect(reversedRanking.homeOf(`key-${index}`)!.id).toBe(
      ranking.homeOf(`key-${index}`)!.id,
    );
  }
});

test("Removing a VM moves only its own keys, and keys are spread evenly", () => {
  const all = members(9);
  const before = new HomeRanking(all);
  const after = new HomeRanking(all.filter(({ id }) => id !== "vm-3"));
  const counts = new Map<string, number>();
  for (let index = 0; index < 9_000; index += 1) {
    const home = before.homeOf(`key-${index}`)!.id;
    counts.set(home, (counts.get(home) ?? 0) + 1);
    if (home !== "vm-3") expect(after.homeOf(`key-${index}`)!.id).toBe(home);
  }
  expect(Math.min(...counts.values())).toBeGreaterThan(800);
  expect(Math.max(...counts.values())).toBeLessThan(1_200);
});
