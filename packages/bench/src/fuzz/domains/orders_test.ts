import { expect, test } from "vitest";
import { runFuzz } from "../run.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { ORDERS_DOMAIN } from "./orders.ts";
import { TIME_DOMAIN } from "./time.ts";

test("No order from a previous lease holder takes effect under random faults", async () => {
  const domains = [TIME_DOMAIN, FAULTS_DOMAIN, ORDERS_DOMAIN];
  const report = await runFuzz({ domains, seed: 6_001, runs: 15 });
  expect(report.findings).toEqual([]);
});

for (const { name, createVm } of ORDERS_DOMAIN.mutants) {
  test(`The fuzzer fails a VM with ${name}`, async () => {
    const report = await runFuzz({
      domains: [ORDERS_DOMAIN],
      seed: 6_002,
      runs: 60,
      maxCommands: 8,
      endOnFailure: true,
      createVm,
    });
    expect(report.failed).toBe(true);
  });
}
