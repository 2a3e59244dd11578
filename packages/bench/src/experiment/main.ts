/** `npm run experiment -- goodput`: goodput and wasted prefill of grant policies, on a simulated clock. */
import process from "node:process";
import {
  command,
  flag,
  number,
  oneOf,
  option,
  optional,
  positional,
  run,
  string,
} from "cmd-ts";
import { DEPLOYMENT_NAMES, DEPLOYMENTS } from "./deployments.ts";
import { FAULT_NAMES } from "./faults.ts";
import { createRecord, type ExperimentRecord } from "./measure.ts";
import { POLICY_NAMES, type PolicyName } from "./policies.ts";
import { formatRecovery } from "./recovery.ts";
import { runExperiment, type RunResult } from "./run.ts";
import { formatTable } from "./table.ts";

const program = command({
  name: "experiment",
  args: {
    subject: positional({ type: oneOf(["goodput"]), displayName: "subject" }),
    deployment: option({
      long: "deployment",
      type: oneOf(DEPLOYMENT_NAMES),
      defaultValue: () => "rakennuskirjo" as const,
    }),
    load: option({
      long: "load",
      type: string,
      defaultValue: () => "0.6,0.9,1.0,1.2,1.5",
    }),
    faults: option({
      long: "faults",
      type: oneOf(FAULT_NAMES),
      defaultValue: () => "none" as const,
    }),
    policy: option({
      long: "policy",
      type: oneOf(["all", ...POLICY_NAMES]),
      defaultValue: () => "all" as const,
    }),
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    seeds: option({ long: "seeds", type: number, defaultValue: () => 1 }),
    json: flag({ long: "json" }),
    out: option({ long: "out", type: optional(string) }),
  },
  async handler(args) {
    const policies: readonly PolicyName[] = args.policy === "all"
      ? POLICY_NAMES
      : [args.policy];
    const loads = args.load.split(",").map(Number);
    const seeds = Array.from(
      { length: args.seeds },
      (_, index) => args.seed + index,
    );
    const records: ExperimentRecord[] = [];
    const results: RunResult[] = [];
    for (const load of loads) {
      for (const policy of policies) {
        for (const seed of seeds) {
          showProgress(`load ${load}, ${policy}, seed ${seed}`);
          const result = await runExperiment({
            deployment: DEPLOYMENTS[args.deployment],
            policy,
            load,
            faults: args.faults,
            seed,
          });
          records.push(createRecord(result));
          if (args.faults !== "none" || args.out) results.push(result);
        }
      }
    }
    showProgress("");
    if (args.json) printLine(JSON.stringify(records));
    else {
      printLine(formatTable(records));
      if (args.faults !== "none") printLine(formatRecovery(results));
    }
    if (args.out) {
      const { writePage } = await import("./page.ts");
      printLine(await writePage(args.out, { records, results, ...args }));
    }
  },
});

await run(program, process.argv.slice(2));

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

function showProgress(line: string): void {
  if (!process.stderr.isTTY) return;
  process.stderr.write(`\r\x1b[K${line}`);
}
