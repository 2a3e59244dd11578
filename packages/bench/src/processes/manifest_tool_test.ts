import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { afterAll, beforeAll, expect, test } from "vitest";
import {
  type Deployment,
  firstManifest,
  startDeployment,
  waitForHttp,
} from "./deployment.ts";
import { PROGRAMS } from "./process_group.ts";

let deployment: Deployment;

interface ToolResult {
  readonly code: number;
  readonly stdout: string;
  readonly stderr: string;
}

beforeAll(async () => {
  deployment = await startDeployment({ prefills: 1, decodes: 1 });
});
afterAll(() => deployment.close());

function runTool(...args: string[]): Promise<ToolResult> {
  const [command, ...rest] = args;
  const commandLine = [
    PROGRAMS.tool,
    "manifest",
    command!,
    "--vm",
    deployment.vms[0]!.admin,
    "--token-file",
    deployment.adminTokenFile,
    ...rest,
  ];
  return new Promise((resolve) =>
    execFile(process.execPath, commandLine, (error, stdout, stderr) =>
      resolve({
        code: error ? Number(error.code) : 0,
        stdout,
        stderr,
      }))
  );
}

function writeManifestFile(name: string, manifest: unknown): string {
  const path = join(deployment.directory, name);
  writeFileSync(path, JSON.stringify(manifest));
  return path;
}

test("The tool checks, submits and shows manifests and restores an earlier version", async () => {
  const first = writeManifestFile("first.json", firstManifest(deployment));
  expect(await runTool("check", first)).toMatchObject({ code: 0 });
  const submitted = await runTool("submit", first);
  expect(submitted).toMatchObject({ code: 0 });
  expect(submitted.stdout).toContain("Accepted as version 1, held by 3 VMs");
  expect(submitted.stdout).toContain("In force on all 3 VMs");
  await waitForHttp(`http://${deployment.vms[2]!.callers}/health/ready`);

  const change = (submissionId: string, basedOn: number) =>
    writeManifestFile("change.json", {
      submissionId,
      scopes: { workspaces: { basedOn, body: [{ id: "offices" }] } },
    });
  const second = await runTool("submit", "--json", change("second", 1));
  expect(JSON.parse(second.stdout)).toMatchObject({
    kind: "accepted",
    version: 2,
    vms: [{ version: 2 }, { version: 2 }, { version: 2 }],
  });
  const conflict = await runTool("submit", change("third", 1));
  expect(conflict).toMatchObject({ code: 3 });
  expect(conflict.stderr).toContain("+ workspaces.offices");

  const difference = await runTool("diff", "1", "2");
  expect(difference.stdout).toContain("- workspaces.lenders");
  const earlier = await runTool("show", "--at", "1", "--as-manifest", "back");
  const backFile = writeManifestFile("back.json", JSON.parse(earlier.stdout));
  expect(await runTool("submit", backFile)).toMatchObject({ code: 0 });
  const history = await runTool("history", "--json");
  expect(JSON.parse(history.stdout)).toMatchObject([
    { version: 3, submissionId: "back", changed: ["workspaces"] },
    { version: 2 },
    { version: 1 },
  ]);
  expect(await runTool("show", "--at", "9")).toMatchObject({ code: 6 });
  const invalid = writeManifestFile("invalid.json", {
    submissionId: "x",
    scopes: 1,
  });
  expect(await runTool("check", invalid)).toMatchObject({ code: 1 });
});
