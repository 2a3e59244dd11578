import { expect, test } from "vitest";
import { rankByRendezvous } from "./hash.ts";

test("Removing a candidate moves only the keys that had it as their home", () => {
  const candidates = ["vm-1", "vm-2", "vm-3", "vm-4"];
  const remaining = candidates.filter((vm) => vm !== "vm-2");
  for (let index = 0; index < 200; index += 1) {
    const before = rankByRendezvous(`key-${index}`, candidates)[0];
    const after = rankByRendezvous(`key-${index}`, remaining)[0];
    if (before !== "vm-2") expect(after).toBe(before);
  }
});
