/** What the commands of manifests print of an outcome, and how they end. */
import process from "node:process";
import type { ManifestCheck, SubmissionOutcome } from "@teaselvalve/core";
import { CliError, EXIT_CODES, type ExitCode } from "./cli_error.ts";
import { readInputFile } from "./client.ts";

/** Any outcome of a manifest. */
export type ManifestOutcome = SubmissionOutcome | ManifestCheck;

const EXIT_CODE_BY_KIND: Record<ManifestOutcome["kind"], ExitCode> = {
  accepted: EXIT_CODES.done,
  valid: EXIT_CODES.done,
  conflict: EXIT_CODES.conflict,
  invalid: EXIT_CODES.failed,
  pending: EXIT_CODES.failed,
  unknown: EXIT_CODES.failed,
  unavailable: EXIT_CODES.unreachable,
};

/** Reads a manifest from a file. Throws {@link CliError}. */
export function readManifest(file: string): unknown {
  try {
    return JSON.parse(readInputFile(file));
  } catch (error) {
    if (error instanceof CliError) throw error;
    throw new CliError(`${file} is not JSON`, EXIT_CODES.usage);
  }
}

/** Whether a body is an outcome rather than a refusal. */
export function isOutcome(body: unknown): body is ManifestOutcome {
  const { kind } = (body ?? {}) as { kind?: string };
  return kind !== undefined && kind in EXIT_CODE_BY_KIND;
}

/** Gives the lines that tell people of an outcome. */
export function describeOutcome(outcome: ManifestOutcome): string[] {
  switch (outcome.kind) {
    case "accepted":
      return [
        `Accepted as version ${outcome.version}, held by ${outcome.holders} VMs in ${outcome.holderDataCentres} data centres`,
      ];
    case "pending":
      return [
        `Version ${outcome.version} is committed, but only ${outcome.holders} VMs hold it yet`,
      ];
    case "valid":
      return ["Valid", ...outcome.difference];
    case "invalid":
      return [
        "Invalid",
        ...outcome.errors.map(({ path, message }) => `${path}: ${message}`),
      ];
    case "conflict":
      return outcome.conflicts.flatMap((conflict) => [
        `Conflict: ${conflict.scope} is at version ${conflict.current}, the manifest was made from ${conflict.basedOn}; it would have overwritten`,
        ...conflict.difference,
      ]);
    case "unknown":
      return ["Not known whether it was accepted; submit the same id again"];
    case "unavailable":
      return ["The platform can't be reached; nothing was submitted"];
  }
}

/** Sets the exit code that an outcome ends the tool with. */
export function setExitCode(outcome: ManifestOutcome): void {
  process.exitCode = EXIT_CODE_BY_KIND[outcome.kind];
}
