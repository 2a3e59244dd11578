import { expect, test } from "vitest";
import { rankByRendezvous } from "./hash.ts";

test("Removing a candidate moves only the keys that it was home for", () => {
  const all = ["vm-1", "vm-2", "vm-3", "vm-4"];
  const left = all.filter((vm) => vm !== "vm-2");
  for (let index = 0; index < 200; index += 1) {
    const before = rankByRendezvous(`key-${index}`, all)[0];
    const after = rankByRendezvous(`key-${index}`, left)[0];
    if (before !== "vm-2") expect(after).toBe(before);
  }
});
