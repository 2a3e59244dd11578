/** Submits a manifest, a summary and a registration, and prints which processes handled them. */
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { promisify } from "node:util";
import { request } from "undici";
import {
  type DeployedVm,
  type Deployment,
  firstManifest,
  MODEL,
  SERVICE,
  waitForHttp,
} from "../processes/deployment.ts";
import { PROGRAMS } from "../processes/process_group.ts";
import { waitForEvent } from "./log_lines.ts";
import { printLine } from "./print_line.ts";
import { type StreamedSummary, streamSummary } from "./summary.ts";

const runFile = promisify(execFile);

const DATA_CENTRE = "espoo-b";
const SUMMARY_KEY = "summary-1";
const FILING_KEY = "filing-1";
const PROMPT = "Summarise the finished houses of this quarter. [length=40]";
const EXCERPT_LENGTH = 32;

/** Runs all steps of the demo; throws if one fails. */
export async function runWalkthrough(deployment: Deployment): Promise<void> {
  const { vms, engines } = deployment;
  printLine(
    `Started ${vms.length} daemons, ${engines.length} engines, a plain service and the platform.`,
  );
  await submitManifest(deployment);
  await Promise.all(
    vms.map((vm) => waitForHttp(`http://${vm.callers}/health/ready`)),
  );
  const entry = await lookUpEntryVm(deployment);
  printLine(
    `Address: callers in ${DATA_CENTRE} are told to use ${entry.name} (${entry.callers}).`,
  );
  await showSummary(deployment, entry);
  await showRegistration(deployment, entry);
}

/** Submits the first manifest with the CLI and prints its output. */
async function submitManifest(deployment: Deployment): Promise<void> {
  const file = join(deployment.directory, "manifest.json");
  writeFileSync(file, JSON.stringify(firstManifest(deployment), null, 2));
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
  for (const line of stdout.trim().split("\n")) printLine(`Manifest: ${line}`);
}

async function lookUpEntryVm(deployment: Deployment): Promise<DeployedVm> {
  const response = await request(
    `http://${
      deployment.vms[0]!.callers
    }/v1/addresses?data_centre=${DATA_CENTRE}`,
  );
  const { addresses } = await response.body.json() as {
    addresses: { vm: string }[];
  };
  const entry = deployment.vms.find((vm) => vm.name === addresses[0]?.vm);
  if (!entry) throw new Error("The deployment returned no address for callers");
  return entry;
}

async function showSummary(
  deployment: Deployment,
  entry: DeployedVm,
): Promise<void> {
  const summary = await streamSummary({
    address: entry.callers,
    token: deployment.callerToken,
    key: SUMMARY_KEY,
    model: MODEL,
    prompt: PROMPT,
  });
  const grantEvent = await waitForEvent(logFileOf(deployment, entry), {
    event: "summary-granted",
    key: `lenders/lender-1/${SUMMARY_KEY}`,
  });
  printLine(
    `Summary: ${entry.name} ran prefill on ${grantEvent.prefill} and decode on ${grantEvent.decode};`,
  );
  printLine(`  ${describe(summary)}`);
}

function describe(summary: StreamedSummary): string {
  const { events, firstChunkMs: firstMs, totalMs, text } = summary;
  const excerpt = text.slice(0, EXCERPT_LENGTH).trim();
  return `first token after ${firstMs.toFixed(0)} ms, ` +
    `${events} events in ${totalMs.toFixed(0)} ms: "${excerpt}..."`;
}

async function showRegistration(
  deployment: Deployment,
  entry: DeployedVm,
): Promise<void> {
  const response = await request(
    `http://${entry.callers}/v1/services/${SERVICE}/filings`,
    {
      method: "POST",
      headers: {
        authorization: `Bearer ${deployment.callerToken}`,
        "content-type": "application/json",
        "idempotency-key": FILING_KEY,
      },
      body: JSON.stringify({ house: "Mannerheimintie 1" }),
    },
  );
  const text = await response.body.text();
  if (response.statusCode !== 201) throw new Error(`Registration: ${text}`);
  const sentEvent = await waitForEvent(logFileOf(deployment, entry), {
    event: "call-sent",
    key: `lenders/${FILING_KEY}`,
  });
  const runs = await request(`http://${deployment.service}/runs`);
  const { length } = await runs.body.json() as unknown[];
  if (length !== 1) throw new Error(`The service ran ${length} registrations`);
  printLine(
    `Registration: ${entry.name} sent it to ${sentEvent.endpoint}, which ran it once and answered ${text}.`,
  );
}

function logFileOf(deployment: Deployment, vm: DeployedVm): string {
  return join(deployment.directory, `${vm.name}.log`);
}
