/** `npm run fuzz -- --seed N --runs N`, `--mutants` for the table of mutants, `--only DOMAIN` for one domain. */
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
    const chosen = DOMAINS.filter((domain) => !only || domain.name === only);
    if (mutants) return await runMutants(chosen, { seed, runs });
    const domains = only ? chosen.flatMap(withFaults) : DOMAINS;
    const report = await runFuzz({
      domains,
      seed,
      runs,
      path,
      replayPath,
      endOnFailure: noShrink,
      world: only ? chosen[0]?.world : undefined,
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
      say(
        `${name.padEnd(48)} ${outcome.padEnd(10)} runs ${
          String(report.runs).padEnd(5)
        } ${finding}`,
      );
      if (!report.failed) process.exitCode = 1;
    }
  }
}

// Commands of other domains would only thin out those that a mutant shows under.
function withFaults(domain: FuzzDomain): FuzzDomain[] {
  const common = [TIME_DOMAIN, FAULTS_DOMAIN].filter((one) => one !== domain);
  return [...common, domain];
}

function printReport(report: FuzzReport): void {
  const outcome = report.failed ? "failed" : "no violation";
  say(`seed ${report.seed}: ${report.runs} runs, ${outcome}`);
  if (!report.failed) return;
  say(`path ${report.path}`);
  say(`commands ${report.commands}`);
  for (const finding of report.findings) say(`  ${finding}`);
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(program, process.argv.slice(2));
