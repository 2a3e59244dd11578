/** Errors that end the tool with a message and an exit code. */

/** Exit codes of the tool; `docs/operators/tool.md` documents them. */
export const EXIT_CODES = {
  done: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  denied: 5,
  notFound: 6,
} as const;

/** One of the tool's exit codes. */
export type ExitCode = (typeof EXIT_CODES)[keyof typeof EXIT_CODES];

/** Ends a command; the message is printed without a stack trace. */
export class CliError extends Error {
  readonly exitCode: ExitCode;

  constructor(message: string, exitCode: ExitCode = EXIT_CODES.failed) {
    super(message);
    this.exitCode = exitCode;
  }
}
