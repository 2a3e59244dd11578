/** Leaves a deployment up and shows commands to try. */
import { relative } from "node:path";
import process from "node:process";
import { type Deployment, MODEL, SERVICE } from "../processes/deployment.ts";
import { PROGRAMS } from "../processes/process_group.ts";
import { say } from "./say.ts";

/** Waits until the person who started it ends it. */
export async function stay(deployment: Deployment): Promise<void> {
  const [vm] = deployment.vms;
  const caller = `-H "Authorization: Bearer ${deployment.callerToken}"`;
  const tool = `node ${relative(process.cwd(), PROGRAMS.tool)}`;
  const operator = `--vm ${
    vm!.admin
  } --token-file ${deployment.adminTokenFile}`;
  say();
  say("Left up until Ctrl-C. Try:");
  say(`  curl http://${vm!.callers}/v1/addresses`);
  say(
    `  curl -N http://${
      vm!.callers
    }/v1/completions ${caller} -d '{"model":"${MODEL}","prompt":"Hello","stream":true}'`,
  );
  say(
    `  curl http://${
      vm!.callers
    }/v1/services/${SERVICE}/filings ${caller} -H "Idempotency-Key: filing-2" -d '{"house":2}'`,
  );
  say(`  ${tool} vms ${operator}`);
  say(`  ${tool} endpoints ${operator}`);
  say(`  ${tool} calls show lenders/filing-1 ${operator}`);
  say(`  curl http://${vm!.admin}/metrics`);
  say(`The daemons' logs are in ${deployment.directory}`);
  // The signal handlers of the program end the wait.
  await new Promise<never>(() => setInterval(() => {}, 1 << 30));
}
