/** `teaselvalve manifest check|history|show|diff` */
import type {
  Configuration,
  HistoryEntry,
  VersionDifference,
} from "@teaselvalve/core";
import { command, number, option, optional, positional, string } from "cmd-ts";
import { callAdmin, connectionArgs, queryAdmin } from "../common/client.ts";
import { CliError } from "../common/cli_error.ts";
import {
  describeOutcome,
  isOutcome,
  readManifest,
  setExitCode,
} from "../common/outcome.ts";
import {
  outputArgs,
  printJson,
  printLine,
  printRows,
} from "../common/output.ts";

const DEFAULT_HISTORY_ENTRIES = 20;
const args = { ...connectionArgs, ...outputArgs };

/** Checks a manifest without submitting it. */
export const checkManifest = command({
  name: "check",
  description: "Lists all errors of a manifest, or what it would change",
  args: { ...args, file: positional({ type: string, displayName: "file" }) },
  async handler(args) {
    const manifest = readManifest(args.file);
    const path = "/admin/manifests/check";
    const { body } = await callAdmin(args, path, manifest);
    if (!isOutcome(body)) throw new CliError(JSON.stringify(body));
    if (args.json) printJson(body);
    else describeOutcome(body).forEach(printLine);
    setExitCode(body);
  },
});

/** Lists accepted versions, newest first. */
export const history = command({
  name: "history",
  description: "Lists accepted versions, newest first",
  args: {
    ...args,
    limit: option({
      long: "limit",
      type: number,
      defaultValue: () => DEFAULT_HISTORY_ENTRIES,
    }),
  },
  async handler(args) {
    const entries = await queryAdmin<HistoryEntry[]>(
      args,
      `/admin/manifests/history?limit=${args.limit}`,
    );
    printRows(entries, {
      json: args.json,
      columns: [
        { title: "VERSION", value: (entry) => entry.version },
        {
          title: "ACCEPTED",
          value: (entry) => new Date(entry.acceptedAtMs).toISOString(),
        },
        { title: "CHANGED", value: (entry) => entry.changed.join(",") },
        { title: "SUBMISSION", value: (entry) => entry.submissionId },
        { title: "VM", value: (entry) => entry.vm },
      ],
    });
  },
});

/** Prints a version as JSON, or as a manifest that restores it. */
export const show = command({
  name: "show",
  description: "Prints a version as JSON, or as a manifest that restores it",
  args: {
    ...connectionArgs,
    at: option({
      long: "at",
      type: optional(number),
      description: "The version; defaults to the active one",
    }),
    asManifest: option({
      long: "as-manifest",
      type: optional(string),
      description: "Prints a manifest with this submission id",
    }),
  },
  async handler(args) {
    const current = await queryAdmin<Configuration>(
      args,
      "/admin/configuration",
    );
    const shown = args.at === undefined
      ? current
      : await queryAdmin<Configuration>(
        args,
        `/admin/manifests/versions/${args.at}`,
      );
    printJson(
      args.asManifest === undefined ? shown : createRollbackManifest(shown, {
        current,
        submissionId: args.asManifest,
      }),
    );
  },
});

/** Shows the differences between two versions. */
export const diff = command({
  name: "diff",
  description: "Shows the differences between two versions",
  args: {
    ...args,
    from: positional({ type: number, displayName: "from" }),
    to: positional({ type: number, displayName: "to" }),
  },
  async handler(args) {
    const difference = await queryAdmin<VersionDifference>(
      args,
      `/admin/manifests/diff?from=${args.from}&to=${args.to}`,
    );
    if (args.json) return printJson(difference);
    difference.lines.forEach(printLine);
  },
});

/** Builds a manifest that restores an earlier version, based on the active one. */
function createRollbackManifest(
  shown: Configuration,
  options: { current: Configuration; submissionId: string },
): unknown {
  const { current, submissionId } = options;
  const names = Object.keys(shown.head.scopes) as (
    keyof Configuration["bodies"]
  )[];
  const scopes = Object.fromEntries(
    names
      .filter((name) =>
        shown.head.scopes[name]?.digest !== current.head.scopes[name]?.digest
      )
      .map((name) => [name, {
        basedOn: current.head.scopes[name]?.version ?? 0,
        body: shown.bodies[name],
      }]),
  );
  return { submissionId, scopes };
}
