import { expect, test } from "vitest";
import { runFuzz } from "../run.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { SUMMARIES_DOMAIN } from "./summaries.ts";
import { TIME_DOMAIN } from "./time.ts";

const DOMAINS = [TIME_DOMAIN, FAULTS_DOMAIN, SUMMARIES_DOMAIN];

test("Summaries hold on fixed seeds while anything fails", async () => {
  for (const seed of [21, 31]) {
    const report = await runFuzz({ domains: DOMAINS, seed, runs: 20 });
    expect(report.findings, report.commands ?? "").toEqual([]);
  }
});

test("The same seed gives the same run", async () => {
  const run = () => {
    const [first] = SUMMARIES_DOMAIN.mutants;
    const { createVm } = first!;
    const options = {
      domains: DOMAINS,
      seed: 21,
      runs: 60,
      endOnFailure: true,
    };
    return runFuzz({ ...options, createVm });
  };
  const report = await run();
  expect(report.failed).toBe(true);
  expect(await run()).toEqual(report);
});
