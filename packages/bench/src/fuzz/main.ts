/** `npm run fuzz -- --seed N --runs N`, or `--mutants` for the table of mutants. */
import process from "node:process";
import { command, flag, number, option, optional, run, string } from "cmd-ts";
import { DOMAINS } from "./domains/mod.ts";
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
  },
  async handler({ seed, runs, path, replayPath, noShrink, mutants }) {
    if (mutants) return await runMutants(seed, runs);
    const report = await runFuzz({
      domains: DOMAINS,
      seed,
      runs,
      path,
      replayPath,
      endOnFailure: noShrink,
    });
    printReport(report);
    process.exitCode = report.failed ? 1 : 0;
  },
});

await run(program, process.argv.slice(2));

async function runMutants(seed: number, runs: number): Promise<void> {
  for (const mutant of DOMAINS.flatMap((domain) => domain.mutants)) {
    const { createVm, world } = mutant;
    const report = await runFuzz({
      domains: DOMAINS,
      seed,
      runs,
      createVm,
      world,
    });
    const outcome = report.failed ? "found" : "NOT FOUND";
    say(`${mutant.name.padEnd(32)} ${outcome.padEnd(10)} runs ${report.runs}`);
    if (!report.failed) process.exitCode = 1;
  }
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
