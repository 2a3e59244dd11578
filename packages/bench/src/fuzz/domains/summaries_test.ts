import type { Observer } from "@teaselvalve/core";
import { expect, test } from "vitest";
import { runFuzz } from "../run.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { SUMMARIES_DOMAIN } from "./summaries.ts";
import { TIME_DOMAIN } from "./time.ts";

const DOMAINS = [TIME_DOMAIN, FAULTS_DOMAIN, SUMMARIES_DOMAIN];

test("Summaries violate no invariant on fixed seeds under random faults", async () => {
  for (const seed of [21, 31]) {
    const report = await runFuzz({ domains: DOMAINS, seed, runs: 12 });
    expect(report.findings, report.commands ?? "").toEqual([]);
  }
});

test("The same seed gives the same run", async () => {
  const run = async () => {
    const lines: string[] = [];
    const observer: Observer = {
      log: (event) => lines.push(`${Date.now()} ${JSON.stringify(event)}`),
      count: (counter, reason) =>
        lines.push(`${Date.now()} ${counter} ${reason}`),
    };
    await runFuzz({ domains: DOMAINS, seed: 51, runs: 6, world: { observer } });
    return lines;
  };
  const first = await run();
  expect(first.length).toBeGreaterThan(50);
  expect(await run()).toEqual(first);
});
