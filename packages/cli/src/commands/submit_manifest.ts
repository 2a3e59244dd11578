/** `teaselvalve manifest submit` */
import process from "node:process";
import { setTimeout as wait } from "node:timers/promises";
import type { ActiveVersion } from "@teaselvalve/core";
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

/** Submits a manifest and waits until it is active on every VM. */
export const submitManifest = command({
  name: "submit",
  description:
    "Submits a manifest and waits until it is active on every VM; safe to repeat",
  args: {
    ...connectionArgs,
    ...outputArgs,
    timeoutSeconds: option({
      long: "timeout-seconds",
      type: number,
      defaultValue: () => DEFAULT_TIMEOUT_SECONDS,
      description: "How long to retry the submission and to wait for the VMs",
    }),
    file: positional({ type: string, displayName: "file" }),
  },
  examples: [{
    description: "Submits a manifest that a pipeline generated",
    command:
      "teaselvalve manifest submit manifest.json --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const manifest = readManifest(args.file);
    const untilMs = performance.now() + args.timeoutSeconds * MS_PER_SECOND;
    const print = (line: string) => args.json || printLine(line);
    const outcome = await submitWithRetries(args, {
      manifest,
      untilMs,
      print,
    });
    if (outcome.kind !== "accepted") {
      if (args.json) printJson(outcome);
      else process.stderr.write(`${describeOutcome(outcome).join("\n")}\n`);
      return setExitCode(outcome);
    }
    for (const line of describeOutcome(outcome)) print(line);
    const { version } = outcome;
    const vms = await waitUntilActive(args, { version, untilMs, print });
    const behind = vms.filter((vm) => !isActive(vm, version));
    if (args.json) printJson({ ...outcome, vms });
    if (behind.length > 0) process.exitCode = EXIT_CODES.failed;
  },
});

interface WaitOptions {
  readonly untilMs: number;
  readonly print: (line: string) => void;
}

/**
 * Submits a manifest and retries while the outcome is not definite; the
 * submission id makes retries safe. Throws {@link CliError} on a refusal.
 */
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
    for (const line of describeOutcome(body)) options.print(line);
    await wait(body.retryAfterMs);
  }
}

async function waitUntilActive(
  connection: Connection,
  options: WaitOptions & { version: number },
): Promise<readonly ActiveVersion[]> {
  let lastLine = "";
  for (;;) {
    const vms = await queryAdmin<ActiveVersion[]>(
      connection,
      "/admin/manifests/in-force",
    );
    const behind = vms.filter((vm) => !isActive(vm, options.version));
    const line = behind.length === 0
      ? `Active on all ${vms.length} VMs`
      : `Active on ${
        vms.length - behind.length
      } of ${vms.length} VMs; not yet on ${
        behind.map(({ vm, state }) => `${vm} (${state})`).join(", ")
      }`;
    if (line !== lastLine) options.print(line);
    lastLine = line;
    if (behind.length === 0 || performance.now() >= options.untilMs) return vms;
    await wait(POLL_MS);
  }
}

// There is no point in waiting for a VM that is considered dead: if it returns,
// it fetches the version first.
function isActive(vm: ActiveVersion, version: number): boolean {
  return vm.state === "dead" || (vm.version ?? 0) >= version;
}
