import { expect, test } from "vitest";
import { runFuzz } from "../run.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { TIME_DOMAIN } from "./time.ts";
import { VMS_DOMAIN } from "./vms.ts";

// The time domain twice, so that shutdowns progress between other commands.
const faultFree = [TIME_DOMAIN, TIME_DOMAIN, VMS_DOMAIN, VMS_DOMAIN];

test("Graceful shutdowns cut no request", async () => {
  const report = await runFuzz({ domains: faultFree, seed: 6_001, runs: 12 });
  expect(report.findings).toEqual([]);
});

test("Views converge and no VM invariant is violated under faults", async () => {
  const domains = [TIME_DOMAIN, FAULTS_DOMAIN, VMS_DOMAIN];
  const report = await runFuzz({ domains, seed: 6_002, runs: 12 });
  expect(report.findings).toEqual([]);
});

for (const { name, createVm } of VMS_DOMAIN.mutants) {
  test(`The fuzzer fails with ${name}`, async () => {
    const report = await runFuzz({
      domains: faultFree,
      seed: 6_003,
      runs: 200,
      endOnFailure: true,
      createVm,
    });
    expect(report.findings.join()).toContain("vms: ");
  });
}
