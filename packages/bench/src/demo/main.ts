/** Starts a small deployment, runs one summary and one registration on it, and stops it. */
import process from "node:process";
import { type Deployment, startDeployment } from "../processes/deployment.ts";
import { printLine } from "./print_line.ts";
import { keepRunning } from "./keep_running.ts";
import { runWalkthrough } from "./walkthrough.ts";

const EXIT_FAILED = 1;

let deployment: Deployment | undefined;
let signalExitCode = EXIT_FAILED;
// An interrupted run must not leave processes running.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => void end(signalExitCode));
}

try {
  deployment = await startDeployment();
  await runWalkthrough(deployment);
  if (process.argv.includes("--stay")) {
    signalExitCode = 0;
    await keepRunning(deployment);
  }
  await end(0);
} catch (error) {
  printLine(`Failed: ${(error as Error).message ?? String(error)}`);
  await end(EXIT_FAILED);
}

async function end(exitCode: number): Promise<void> {
  await deployment?.close();
  printLine("All processes have ended.");
  process.exit(exitCode);
}
