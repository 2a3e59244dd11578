/** `npm run fuzz -- --seed N --runs N`, `--mutants` to print which mutants are found, `--only DOMAIN` for one domain. */
import process from "node:process";
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { FAULTS_DOMAIN } from "./domains/faults.ts";
import { DOMAINS } from "./domains/mod.ts";
import { TIME_DOMAIN } from "./domains/time.ts";
import type { FuzzDomain } from "./fuzz_domain.ts";
import { type FuzzReport, runFuzz } from "./run.ts";

const program = command({
  name: "fuzz",
  args: {
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
    runs: option({ long: "runs", type: number, defaultValue: () => 500 }),
    path: option({ long: "path", type: optional(string) }),
    replayPath: option({ long: "replay-path", type: optional(string) }),
    noShrink: flag({ long: "no-shrink" }),
    mutants: flag({ long: "mutants" }),
    only: option({ long: "only", type: optional(string) }),
  },
  async handler({ seed, runs, path, replayPath, noShrink, mutants, only }) {
    const selected = DOMAINS.filter((domain) => !only || domain.name === only);
    if (mutants) return await runMutants(selected, { seed, runs });
    const domains = only ? selected.flatMap(withFaults) : DOMAINS;
    const report = await runFuzz({
      domains,
      seed,
      runs,
      path,
      replayPath,
      endOnFailure: noShrink,
      world: only ? selected[0]?.world : undefined,
    });
    printReport(report);
    process.exitCode = report.failed ? 1 : 0;
  },
});

async function runMutants(
  domains: readonly FuzzDomain[],
  options: { seed: number; runs: number },
): Promise<void> {
  for (const domain of domains) {
    for (const { name, createVm, world } of domain.mutants) {
      const report = await runFuzz({
        domains: withFaults(domain),
        ...options,
        createVm,
        world: { ...domain.world, ...world },
      });
      const outcome = report.failed ? "found" : "NOT FOUND";
      const [finding = ""] = report.findings;
      printLine(
        `${name.padEnd(48)} ${outcome.padEnd(10)} runs ${
          String(report.runs).padEnd(5)
        } ${finding}`,
      );
      if (!report.failed) process.exitCode = 1;
    }
  }
}

// Leaves out the other domains, whose commands would take up steps that could expose a mutant.
function withFaults(domain: FuzzDomain): FuzzDomain[] {
  const shared = [TIME_DOMAIN, FAULTS_DOMAIN].filter((other) =>
    other !== domain
  );
  return [...shared, domain];
}

function printReport(report: FuzzReport): void {
  const outcome = report.failed ? "failed" : "no violation";
  printLine(`seed ${report.seed}: ${report.runs} runs, ${outcome}`);
  if (!report.failed) return;
  printLine(`path ${report.path}`);
  printLine(`commands ${report.commands}`);
  for (const finding of report.findings) printLine(`  ${finding}`);
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(program, process.argv.slice(2));
