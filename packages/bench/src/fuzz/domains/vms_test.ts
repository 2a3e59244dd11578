import { expect, test } from "vitest";
import { runFuzz } from "../run.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { TIME_DOMAIN } from "./time.ts";
import { VMS_DOMAIN } from "./vms.ts";

// Time twice, so that stops get on between other commands.
const calm = [TIME_DOMAIN, TIME_DOMAIN, VMS_DOMAIN, VMS_DOMAIN];

test("Planned stops cut nothing", async () => {
  const report = await runFuzz({ domains: calm, seed: 6_001, runs: 12 });
  expect(report.findings).toEqual([]);
});

test("Views converge and answers hold under faults", async () => {
  const domains = [TIME_DOMAIN, FAULTS_DOMAIN, VMS_DOMAIN];
  const report = await runFuzz({ domains, seed: 6_002, runs: 12 });
  expect(report.findings).toEqual([]);
});

for (const { name, createVm } of VMS_DOMAIN.mutants) {
  test(`The fuzzer notices ${name}`, async () => {
    const report = await runFuzz({
      domains: calm,
      seed: 6_003,
      runs: 200,
      endOnFailure: true,
      createVm,
    });
    expect(report.findings.join()).toContain("vms: ");
  });
}
