import { expect, test } from "vitest";
import { runFuzz } from "../run.ts";
import { CALLS_DOMAIN } from "./calls.ts";
import { FAULTS_DOMAIN } from "./faults.ts";
import { TIME_DOMAIN } from "./time.ts";

const SEED = 41;
const RUNS = 60;
const MUTANT_RUNS = 60;
/** Mutants that a few runs are enough to find; `npm run fuzz -- --mutants` tries all. */
const QUICK_MUTANTS = [
  "calls: claim before send",
  "calls: the same token when repeated",
];

const common = {
  domains: [TIME_DOMAIN, FAULTS_DOMAIN, CALLS_DOMAIN],
  seed: SEED,
  world: CALLS_DOMAIN.world,
};

test("Calls keep their guarantees under random faults", async () => {
  const report = await runFuzz({ ...common, runs: RUNS });
  expect(report).toMatchObject({ failed: false, findings: [] });
});

test("The same seed gives the same failure", async () => {
  const { createVm } = CALLS_DOMAIN.mutants[0]!;
  const options = {
    ...common,
    runs: MUTANT_RUNS,
    createVm,
    endOnFailure: true,
  };
  const first = await runFuzz(options);
  expect(first.failed).toBe(true);
  expect(await runFuzz(options)).toEqual(first);
});

test.each(QUICK_MUTANTS)("The fuzzer fails without %s", async (name) => {
  const mutant = CALLS_DOMAIN.mutants.find((one) => one.name === name)!;
  const report = await runFuzz({
    ...common,
    runs: MUTANT_RUNS,
    createVm: mutant.createVm,
    endOnFailure: true,
  });
  expect(report.failed).toBe(true);
});
