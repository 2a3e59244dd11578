/** Leaves a deployment up and shows commands to try. */
import { relative } from "node:path";
import process from "node:process";
import { type Deployment, MODEL, SERVICE } from "../processes/deployment.ts";
import { PROGRAMS } from "../processes/process_group.ts";
import { printLine } from "./print_line.ts";

/** Waits until the person who started it ends it. */
export async function keepRunning(deployment: Deployment): Promise<void> {
  const [vm] = deployment.vms;
  const caller = `-H "Authorization: Bearer ${deployment.callerToken}"`;
  const tool = `node ${relative(process.cwd(), PROGRAMS.tool)}`;
  const operator = `--vm ${
    vm!.admin
  } --token-file ${deployment.adminTokenFile}`;
  printLine();
  printLine("Left up until Ctrl-C. Try:");
  printLine(`  curl http://${vm!.callers}/v1/addresses`);
  printLine(
    `  curl -N http://${
      vm!.callers
    }/v1/completions ${caller} -d '{"model":"${MODEL}","prompt":"Hello","stream":true}'`,
  );
  printLine(
    `  curl http://${
      vm!.callers
    }/v1/services/${SERVICE}/filings ${caller} -H "Idempotency-Key: filing-2" -d '{"house":2}'`,
  );
  printLine(`  ${tool} vms ${operator}`);
  printLine(`  ${tool} endpoints ${operator}`);
  printLine(`  ${tool} calls show lenders/filing-1 ${operator}`);
  printLine(`  curl http://${vm!.admin}/metrics`);
  printLine(`The daemons' logs are in ${deployment.directory}`);
  // The signal handlers of the program end the wait.
  await new Promise<never>(() => setInterval(() => {}, 1 << 30));
}
