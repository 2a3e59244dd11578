/** `teaselvalve manifest submit` */
import process from "node:process";
import type { SubmissionOutcome } from "@teaselvalve/core";
import { command, positional, string } from "cmd-ts";
import {
  callAdmin,
  connectionArgs,
  EXIT_CODES,
  readNamedFile,
} from "../shared/client.ts";

/** Submits a manifest. */
export const submitManifest = command({
  name: "submit",
  description: "Submits a manifest",
  args: {
    ...connectionArgs,
    file: positional({ type: string, displayName: "file" }),
  },
  async handler(args) {
    const manifest: unknown = JSON.parse(readNamedFile(args.file));
    const answer = await callAdmin(args, "/admin/manifests", manifest);
    const outcome = answer.body as SubmissionOutcome;
    if (outcome.kind === "accepted") {
      process.stdout.write(
        `Accepted as version ${outcome.version}, held by ${outcome.holders} VMs\n`,
      );
      return;
    }
    process.stderr.write(`${JSON.stringify(outcome)}\n`);
    process.exitCode = outcome.kind === "conflict"
      ? EXIT_CODES.conflict
      : EXIT_CODES.failed;
  },
});
