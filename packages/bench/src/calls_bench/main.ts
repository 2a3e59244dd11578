/**
 * `npm run bench:calls`: measures the time that a claim adds to a call, and the table
 * transactions that claims need.
 */
import process from "node:process";
import { command, flag, number, option, run, string } from "cmd-ts";
import { type ClaimBenchResult, measureClaims } from "./measure_claims.ts";
import { measureAgainstProcess } from "./measure_process.ts";

const HEADER = [
  "filings/s".padStart(9),
  "VMs".padStart(4),
  "answered".padStart(9),
  "transactions/s".padStart(15),
  "added ms p50".padStart(13),
  "p95".padStart(7),
  "p99".padStart(7),
].join("  ");

const program = command({
  name: "bench-calls",
  args: {
    rates: option({
      long: "rates",
      type: string,
      defaultValue: () => "8,40,100,240,500,1000",
    }),
    vms: option({ long: "vms", type: number, defaultValue: () => 8 }),
    seconds: option({ long: "seconds", type: number, defaultValue: () => 10 }),
    process: flag({ long: "process" }),
    seed: option({ long: "seed", type: number, defaultValue: () => 1 }),
  },
  async handler({ rates, vms, seconds, seed, process: usesProcess }) {
    if (usesProcess) return await runAgainstProcess({ rates, vms, seconds });
    printLine(
      "Fake clock; 2 ms one way to the platform, so one commit takes 4 ms.",
    );
    printLine(
      "Excludes processor time. Added: time beyond a call without a claim.",
    );
    printLine(HEADER);
    for (const rate of rates.split(",").map(Number)) {
      printLine(formatRow(await measureClaims({ rate, vms, seconds, seed })));
    }
  },
});

async function runAgainstProcess(
  options: { rates: string; vms: number; seconds: number },
): Promise<void> {
  const { rates, vms, seconds } = options;
  printLine(
    "Real time, with the fake platform as a process on loopback; all VMs",
  );
  printLine("share one process. Added: from submission to sending.");
  printLine(HEADER);
  for (const rate of rates.split(",").map(Number)) {
    const result = await measureAgainstProcess({
      rate,
      vms,
      seconds,
      seed: 0,
    });
    const { p50, p99 } = result.commitMs;
    const commit = `${p50.toFixed(1)}/${p99.toFixed(1)}`;
    printLine(`${formatRow(result)}  one commit p50/p99 ${commit} ms`);
  }
}

function formatRow(result: ClaimBenchResult): string {
  return [
    String(result.rate).padStart(9),
    String(result.vms).padStart(4),
    `${result.answered}/${result.sent}`.padStart(9),
    result.transactionsPerSecond.toFixed(0).padStart(15),
    result.addedMs.p50.toFixed(1).padStart(13),
    result.addedMs.p95.toFixed(1).padStart(7),
    result.addedMs.p99.toFixed(1).padStart(7),
  ].join("  ");
}

function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

await run(program, process.argv.slice(2));
