/** `teaselvalve manifest submit` */
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import type { VersionInForce } from "@teaselvalve/core";
import { command, number, option, positional, string } from "cmd-ts";
import {
  callAdmin,
  type Connection,
  connectionArgs,
  EXIT_CODES,
  queryAdmin,
} from "../common/client.ts";
import { CliError } from "../common/cli_error.ts";
import { outputArgs, printJson, printLine } from "../common/output.ts";
import {
  describeOutcome,
  isOutcome,
  type ManifestOutcome,
  readManifest,
  setExitCode,
} from "../common/outcome.ts";

const DEFAULT_TIMEOUT_SECONDS = 60;
const POLL_MS = 500;
const MS_PER_SECOND = 1_000;

/** Submits a manifest and waits until it is in force on every VM. */
export const submitManifest = command({
  name: "submit",
  description:
    "Submits a manifest and waits until it is in force on every VM; safe to repeat",
  args: {
    ...connectionArgs,
    ...outputArgs,
    timeoutSeconds: option({
      long: "timeout-seconds",
      type: number,
      defaultValue: () => DEFAULT_TIMEOUT_SECONDS,
      description: "How long to repeat and to wait",
    }),
    file: positional({ type: string, displayName: "file" }),
  },
  examples: [{
    description: "Submits what a pipeline generated",
    command:
      "teaselvalve manifest submit manifest.json --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const manifest = readManifest(args.file);
    const untilMs = performance.now() + args.timeoutSeconds * MS_PER_SECOND;
    const say = (line: string) => args.json || printLine(line);
    const outcome = await submitWithRetries(args, { manifest, untilMs, say });
    if (outcome.kind !== "accepted") {
      if (args.json) printJson(outcome);
      else process.stderr.write(`${describeOutcome(outcome).join("\n")}\n`);
      return setExitCode(outcome);
    }
    for (const line of describeOutcome(outcome)) say(line);
    const { version } = outcome;
    const vms = await waitUntilActive(args, { version, untilMs, say });
    const behind = vms.filter((vm) => !isActive(vm, version));
    if (args.json) printJson({ ...outcome, vms });
    if (behind.length > 0) process.exitCode = EXIT_CODES.failed;
  },
});

interface WaitOptions {
  readonly untilMs: number;
  readonly say: (line: string) => void;
}

/** Repeats a submission whose outcome isn't definite; the submission's id makes that safe. */
async function submitWithRetries(
  connection: Connection,
  options: WaitOptions & { manifest: unknown },
): Promise<ManifestOutcome> {
  for (;;) {
    const { body } = await callAdmin(
      connection,
      "/admin/manifests",
      options.manifest,
    );
    if (!isOutcome(body)) throw new CliError(JSON.stringify(body));
    const isDefinite = !("retryAfterMs" in body);
    if (isDefinite || performance.now() >= options.untilMs) return body;
    for (const line of describeOutcome(body)) options.say(line);
    await wait(body.retryAfterMs);
  }
}

async function waitUntilActive(
  connection: Connection,
  options: WaitOptions & { version: number },
): Promise<readonly VersionInForce[]> {
  let told = "";
  for (;;) {
    const vms = await queryAdmin<VersionInForce[]>(
      connection,
      "/admin/manifests/in-force",
    );
    const behind = vms.filter((vm) => !isActive(vm, options.version));
    const line = behind.length === 0
      ? `In force on all ${vms.length} VMs`
      : `In force on ${
        vms.length - behind.length
      } of ${vms.length} VMs; not yet on ${
        behind.map(({ vm, state }) => `${vm} (${state})`).join(", ")
      }`;
    if (line !== told) options.say(line);
    told = line;
    if (behind.length === 0 || performance.now() >= options.untilMs) return vms;
    await wait(POLL_MS);
  }
}

// A VM that is believed dead can't be waited for; should it come back, it fetches the version first.
function isActive(vm: VersionInForce, version: number): boolean {
  return vm.state === "dead" || (vm.version ?? 0) >= version;
}
