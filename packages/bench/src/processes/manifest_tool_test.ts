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

interface Ended {
  readonly code: number;
  readonly out: string;
  readonly errors: string;
}

beforeAll(async () => {
  deployment = await startDeployment({ prefills: 1, decodes: 1 });
});
afterAll(() => deployment.close());

function tool(...args: string[]): Promise<Ended> {
  const [command, ...rest] = args;
  const all = [
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
    execFile(process.execPath, all, (error, out, errors) =>
      resolve({
        code: error ? Number(error.code) : 0,
        out,
        errors,
      }))
  );
}

function file(name: string, manifest: unknown): string {
  const path = join(deployment.directory, name);
  writeFileSync(path, JSON.stringify(manifest));
  return path;
}

test("The tool checks, submits, shows and goes back", async () => {
  const first = file("first.json", firstManifest(deployment));
  expect(await tool("check", first)).toMatchObject({ code: 0 });
  const submitted = await tool("submit", first);
  expect(submitted).toMatchObject({ code: 0 });
  expect(submitted.out).toContain("Accepted as version 1, held by 3 VMs");
  expect(submitted.out).toContain("Active on all 3 VMs");
  await waitForHttp(`http://${deployment.vms[2]!.callers}/health/ready`);

  const change = (submissionId: string, basedOn: number) =>
    file("change.json", {
      submissionId,
      scopes: { workspaces: { basedOn, body: [{ id: "offices" }] } },
    });
  const second = await tool("submit", "--json", change("second", 1));
  expect(JSON.parse(second.out)).toMatchObject({
    kind: "accepted",
    version: 2,
    vms: [{ version: 2 }, { version: 2 }, { version: 2 }],
  });
  const conflict = await tool("submit", change("third", 1));
  expect(conflict).toMatchObject({ code: 3 });
  expect(conflict.errors).toContain("+ workspaces.offices");

  const difference = await tool("diff", "1", "2");
  expect(difference.out).toContain("- workspaces.lenders");
  const back = await tool("show", "--at", "1", "--as-manifest", "back");
  const backFile = file("back.json", JSON.parse(back.out));
  expect(await tool("submit", backFile)).toMatchObject({ code: 0 });
  const history = await tool("history", "--json");
  expect(JSON.parse(history.out)).toMatchObject([
    { version: 3, submissionId: "back", changed: ["workspaces"] },
    { version: 2 },
    { version: 1 },
  ]);
  expect(await tool("show", "--at", "9")).toMatchObject({ code: 6 });
  const invalid = file("invalid.json", { submissionId: "x", scopes: 1 });
  expect(await tool("check", invalid)).toMatchObject({ code: 1 });
});
