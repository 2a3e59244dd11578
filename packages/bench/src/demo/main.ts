/** Starts a small deployment, takes one summary and one registration through it, and ends it. */
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import { request } from "undici";
import {
  type Deployment,
  firstManifest,
  MODEL,
  SERVICE,
  startDeployment,
  waitForHttp,
} from "../processes/deployment.ts";
import { PROGRAMS } from "../processes/process_group.ts";

const runFile = promisify(execFile);

const deployment = await startDeployment();
try {
  await show(deployment);
  if (process.argv.includes("--stay")) await stay(deployment);
} finally {
  await deployment.close();
}

async function show(deployment: Deployment): Promise<void> {
  say(`Started ${deployment.vms.length} daemons and their stand-ins`);
  const file = join(deployment.directory, "manifest.json");
  writeFileSync(file, JSON.stringify(firstManifest(deployment)));
  say(await submit(deployment, file));
  await Promise.all(
    deployment.vms.map((vm) =>
      waitForHttp(`http://${vm.callers}/health/ready`)
    ),
  );
  const entry = await askAddress(deployment);
  say(`Callers in espoo-b are told to use ${entry}`);
  await streamSummary(deployment, entry);
  await fileRegistration(deployment, entry);
}

async function submit(deployment: Deployment, file: string): Promise<string> {
  const { stdout } = await runFile(process.execPath, [
    PROGRAMS.tool,
    "manifest",
    "submit",
    "--vm",
    deployment.vms[0]!.admin,
    "--token-file",
    deployment.adminTokenFile,
    file,
  ]);
  return `Manifest: ${stdout.trim()}`;
}

async function askAddress(deployment: Deployment): Promise<string> {
  const answer = await request(
    `http://${deployment.vms[0]!.callers}/v1/addresses?data_centre=espoo-b`,
  );
  const { addresses } = await answer.body.json() as {
    addresses: { address: string }[];
  };
  return addresses[0]!.address;
}

async function streamSummary(
  deployment: Deployment,
  entry: string,
): Promise<void> {
  const startedMs = performance.now();
  const answer = await request(`http://${entry}/v1/completions`, {
    method: "POST",
    headers: {
      authorization: `Bearer ${deployment.callerToken}`,
      "idempotency-key": "summary-1",
    },
    body: JSON.stringify({
      model: MODEL,
      prompt: "Summarise the finished houses of this quarter. [length=40]",
      stream: true,
    }),
  });
  let firstMs = 0;
  let events = 0;
  for await (const chunk of answer.body) {
    firstMs ||= performance.now() - startedMs;
    events += String(chunk).split("\n\n").length - 1;
  }
  const totalMs = performance.now() - startedMs;
  say(
    `Summary: status ${answer.statusCode}, ${events} events, first after ${
      firstMs.toFixed(0)
    } ms, all after ${totalMs.toFixed(0)} ms`,
  );
}

async function fileRegistration(
  deployment: Deployment,
  entry: string,
): Promise<void> {
  const answer = await request(
    `http://${entry}/v1/services/${SERVICE}/filings`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${deployment.callerToken}`,
        "content-type": "application/json",
        "idempotency-key": "filing-1",
      },
      body: JSON.stringify({ house: "Mannerheimintie 1" }),
    },
  );
  const text = await answer.body.text();
  const runs = await (await request(`http://${deployment.service}/runs`)).body
    .json() as unknown[];
  say(
    `Registration: status ${answer.statusCode}, ${text}; the service ran ${runs.length}`,
  );
}

async function stay(deployment: Deployment): Promise<void> {
  const [vm] = deployment.vms;
  say("");
  say("Left up until Ctrl-C. Try:");
  say(`  curl http://${vm!.callers}/v1/addresses`);
  say(
    `  curl -N http://${
      vm!.callers
    }/v1/completions -H "Authorization: Bearer ${deployment.callerToken}" -d '{"model":"${MODEL}","prompt":"Hello","stream":true}'`,
  );
  await new Promise<void>((resolve) => {
    process.once("SIGINT", resolve);
    process.once("SIGTERM", resolve);
  });
}

function say(line: string): void {
  process.stdout.write(`${line}\n`);
}
