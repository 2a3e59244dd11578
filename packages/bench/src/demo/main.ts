/** Starts a small deployment, takes one summary and one registration through it, and ends it. */
import process from "node:process";
import { type Deployment, startDeployment } from "../processes/deployment.ts";
import { say } from "./say.ts";
import { stay } from "./stay.ts";
import { walk } from "./walk.ts";

const EXIT_FAILED = 1;

let deployment: Deployment | undefined;
let signalExitCode = EXIT_FAILED;
// An interrupted run leaves nothing behind either.
for (const signal of ["SIGINT", "SIGTERM"] as const) {
  process.once(signal, () => void end(signalExitCode));
}

try {
  deployment = await startDeployment();
  await walk(deployment);
  if (process.argv.includes("--stay")) {
    signalExitCode = 0;
    await stay(deployment);
  }
  await end(0);
} catch (error) {
  say(`Failed: ${(error as Error).message ?? String(error)}`);
  await end(EXIT_FAILED);
}

async function end(exitCode: number): Promise<void> {
  await deployment?.close();
  say("All processes have ended.");
  process.exit(exitCode);
}
