/** Keeps a deployment running and prints example commands for it. */
import { relative } from "node:path";
import process from "node:process";
import { type Deployment, MODEL, SERVICE } from "../processes/deployment.ts";
import { PROGRAMS } from "../processes/process_group.ts";
import { printLine } from "./print_line.ts";

/** Prints the commands, then waits until a signal ends the process. */
export async function keepRunning(deployment: Deployment): Promise<void> {
  const [vm] = deployment.vms;
  const callerHeader = `-H "Authorization: Bearer ${deployment.callerToken}"`;
  const tool = `node ${relative(process.cwd(), PROGRAMS.tool)}`;
  const operatorFlags = `--vm ${
    vm!.admin
  } --token-file ${deployment.adminTokenFile}`;
  printLine();
  printLine("Running until Ctrl-C. Try:");
  printLine(`  curl http://${vm!.callers}/v1/addresses`);
  printLine(
    `  curl -N http://${
      vm!.callers
    }/v1/completions ${callerHeader} -d '{"model":"${MODEL}","prompt":"Hello","stream":true}'`,
  );
  printLine(
    `  curl http://${
      vm!.callers
    }/v1/services/${SERVICE}/filings ${callerHeader} -H "Idempotency-Key: filing-2" -d '{"house":2}'`,
  );
  printLine(`  ${tool} vms ${operatorFlags}`);
  printLine(`  ${tool} endpoints ${operatorFlags}`);
  printLine(`  ${tool} calls show lenders/filing-1 ${operatorFlags}`);
  printLine(`  curl http://${vm!.admin}/metrics`);
  printLine(`The daemons' logs are in ${deployment.directory}`);
  // The signal handlers in main.ts end the process.
  await new Promise<never>(() => setInterval(() => {}, 1 << 30));
}
