/** Output and exit codes of the manifest commands. */
import process from "node:process";
import type { ManifestCheck, SubmissionOutcome } from "@teaselvalve/core";
import { CliError, EXIT_CODES, type ExitCode } from "./cli_error.ts";
import { readInputFile } from "./client.ts";

/** The outcome of a submission or of a check. */
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

/** Reads a manifest file. Throws {@link CliError} if it can't be read or is not JSON. */
export function readManifest(file: string): unknown {
  try {
    return JSON.parse(readInputFile(file));
  } catch (error) {
    if (error instanceof CliError) throw error;
    throw new CliError(`${file} is not JSON`, EXIT_CODES.usage);
  }
}

/** Whether a response body is an outcome rather than an error. */
export function isOutcome(body: unknown): body is ManifestOutcome {
  const { kind } = (body ?? {}) as { kind?: string };
  return kind !== undefined && kind in EXIT_CODE_BY_KIND;
}

/** Formats an outcome as lines for the terminal. */
export function describeOutcome(outcome: ManifestOutcome): string[] {
  switch (outcome.kind) {
    case "accepted":
      return [
        `Accepted as version ${outcome.version}, held by ${outcome.holders} VMs in ${outcome.holderDataCentres} data centres`,
      ];
    case "pending":
      return [
        `Version ${outcome.version} is committed, but only ${outcome.holders} VMs hold it so far`,
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
        `Conflict: ${conflict.scope} is at version ${conflict.current}, but the manifest is based on version ${conflict.basedOn}; it would have overwritten`,
        ...conflict.difference,
      ]);
    case "unknown":
      return [
        "It is unknown whether the manifest was accepted; submit it again with the same id",
      ];
    case "unavailable":
      return ["The platform is unreachable; nothing was submitted"];
  }
}

/** Sets the exit code of the process according to an outcome. */
export function setExitCode(outcome: ManifestOutcome): void {
  process.exitCode = EXIT_CODE_BY_KIND[outcome.kind];
}
