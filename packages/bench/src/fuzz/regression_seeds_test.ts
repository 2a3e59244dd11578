/** Failures that the fuzzer found earlier, in their shrunk form. */
import { expect, test } from "vitest";
import { DOMAINS } from "./domains/mod.ts";
import { runFuzz } from "./run.ts";

const REGRESSIONS = [
  {
    cause: "a VM that thawed just before the deadline sent a filing",
    seed: 50_004,
    runs: 74,
    path: "73:0:2:1:1:1:2:2:3:12:2:2:6:5:6:6:5:5:8:5:8:6:6:7:7:7:7",
    replayPath: "/Z:D",
  },
];

test.each(REGRESSIONS)(
  "An earlier failure does not recur: $cause",
  async (regression) => {
    const report = await runFuzz({ domains: DOMAINS, ...regression });
    expect(report).toMatchObject({ failed: false, findings: [] });
  },
);
