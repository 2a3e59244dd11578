/** Runs the built programs as an operator does. */
import { execFile, spawn } from "node:child_process";
import { once } from "node:events";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { afterAll, beforeAll, expect, test } from "vitest";
import { PROGRAMS } from "../processes/process_group.ts";

const DEMO = PROGRAMS.daemon.replace(
  "daemon/dist/teaselvalved.js",
  "bench/dist/demo.js",
);

interface Exit {
  readonly exitCode: number;
  readonly stdout: string;
  readonly stderr: string;
}

let directory: string;

beforeAll(() => {
  directory = mkdtempSync(join(tmpdir(), "teaselvalve-programs-"));
  writeFileSync(join(directory, "secret"), "a secret that nobody may see");
});

afterAll(() => rmSync(directory, { recursive: true }));

function run(program: string, ...args: string[]): Promise<Exit> {
  return new Promise((resolve) => {
    execFile(process.execPath, [program, ...args], (error, stdout, stderr) => {
      resolve({ exitCode: Number(error?.code ?? 0), stdout, stderr });
    });
  });
}

function writeSettings(text: string): string {
  const path = join(directory, "vm.ini");
  writeFileSync(path, text.replaceAll("DIR", directory));
  return path;
}

const VALID_SETTINGS = `[vm]
id = vm-1
dataCentre = helsinki-a
region = suomi-etela
[listen]
callers = 127.0.0.1:7000
admin = 127.0.0.1:7010
peers = 127.0.0.1:7020
[platform]
address = 127.0.0.1:7100
[secrets]
peerSecretFile = DIR/secret
adminTokenFile = DIR/secret
`;

test("the daemon accepts valid settings with --check-settings and exits with 0", async () => {
  const path = writeSettings(VALID_SETTINGS);
  const exit = await run(
    PROGRAMS.daemon,
    "--settings",
    path,
    "--check-settings",
  );
  expect(exit).toEqual({
    exitCode: 0,
    stdout: "Settings are fine\n",
    stderr: "",
  });
});

test.each([["--check-settings"], []])(
  "the daemon names every settings error and exits with 2 (%s)",
  async (...flags) => {
    const path = writeSettings(
      VALID_SETTINGS.replace("vm-1", "VM 1").replace("7010", "port"),
    );
    const exit = await run(PROGRAMS.daemon, "--settings", path, ...flags);
    expect(exit.exitCode).toBe(2);
    expect(exit.stderr.trim().split("\n")).toEqual([
      "[vm] id: Expected lower-case letters, digits, dots and dashes",
      "[listen] admin: Expected host:port",
    ]);
  },
);

test.each([
  [["vms"], 2, "--vm"],
  [["vms", "--vm", "127.0.0.1:1"], 4, "No answer from 127.0.0.1:1"],
  [["vms", "--vm", "127.0.0.1:1", "--token-file", "/absent"], 2, "Can't read"],
  [["absent"], 2, "Not a valid subcommand"],
])("the CLI: %j exits with %i", async (args, exitCode, message) => {
  const exit = await run(PROGRAMS.tool, ...args);
  expect(exit.exitCode).toBe(exitCode);
  expect(exit.stderr).toContain(message);
  expect(exit.stderr).not.toMatch(/\n\s+at /);
});

test("the CLI prints help with an example for every command, without colours", async () => {
  const commands = [
    ["vms"],
    ["endpoints"],
    ["calls", "show"],
    ["summaries", "list"],
    ["summaries", "cancel"],
    ["addresses"],
    ["configuration"],
    ["metrics"],
    ["manifest", "submit"],
  ];
  const helps = await Promise.all(
    commands.map((args) => run(PROGRAMS.tool, ...args, "--help")),
  );
  for (const [index, { exitCode, stdout }] of helps.entries()) {
    expect(exitCode).toBe(0);
    expect(stdout).toContain(`$ teaselvalve ${commands[index]!.join(" ")}`);
    expect(stdout).not.toContain("\u001b");
  }
});

test("the CLI exits silently when the reader of its output closes the pipe", async () => {
  const child = spawn(process.execPath, [PROGRAMS.tool, "vms", "--help"]);
  child.stdout.destroy();
  let stderr = "";
  child.stderr.on("data", (chunk) => stderr += chunk);
  const [exitCode] = await once(child, "close");
  expect({ exitCode, stderr }).toEqual({ exitCode: 0, stderr: "" });
});

test("an interrupted demo exits with 1 and leaves no daemon at the printed address", async () => {
  const child = spawn(process.execPath, [DEMO]);
  let stdout = "";
  const address = await new Promise<string>((resolve) => {
    child.stdout.on("data", (chunk) => {
      stdout += chunk;
      const printed = /told to use \S+ \((127[^)]*)\)/.exec(stdout)?.[1];
      if (printed) resolve(printed);
    });
  });
  child.kill("SIGINT");
  const [exitCode] = await once(child, "close");
  expect(exitCode).toBe(1);
  await expect(fetch(`http://${address}/health/live`)).rejects.toThrow();
});

test("the demo exits with 0 after stopping all processes", async () => {
  const { exitCode, stdout, stderr } = await run(DEMO);
  expect(stderr).toBe("");
  expect(stdout).toMatch(
    /Summary: vm-\d ran prefill on prefill-\d and decode on decode-/,
  );
  expect(stdout).toContain("which ran it once");
  expect(stdout.trim().split("\n").at(-1)).toBe("All processes have ended.");
  expect(exitCode).toBe(0);
});
