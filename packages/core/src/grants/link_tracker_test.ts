import { expect, test } from "vitest";
import { asId } from "../common/ids.ts";
import { LinkTracker } from "./link_tracker.ts";

test("Transfers share a link evenly", () => {
  const link = new LinkTracker();
  const planned = (stream: string, startAtMs: number, unsharedMs: number) => ({
    stream: asId<never>(stream),
    startAtMs,
    unsharedMs,
    dueAtMs: 500,
  });
  link.start(planned("a", 0, 100));
  const ends = link.predictEnds([planned("b", 50, 20)], 0);
  // From 50 ms on each gets half of the link: b ends at 90 ms, and a, which
  // then needs another 30 ms, at 120 ms.
  expect(ends.get(asId("b"))!.endMs).toBeCloseTo(90);
  expect(ends.get(asId("a"))!.endMs).toBeCloseTo(120);
  expect(link.remainingMs(40)).toBeCloseTo(60);
});
