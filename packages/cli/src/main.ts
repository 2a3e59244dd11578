/** The operators' command-line tool. */
import process from "node:process";
import { runSafely } from "cmd-ts";
import { program } from "./program.ts";
import { CliError, EXIT_CODES } from "./common/cli_error.ts";

// A reader such as `head` may close the pipe before all output is written.
process.stdout.on("error", (error: NodeJS.ErrnoException) => {
  if (error.code !== "EPIPE") throw error;
  process.exit(EXIT_CODES.done);
});

try {
  const result = await runSafely(program, process.argv.slice(2));
  if (result._tag === "error") {
    // The library reports both usage errors and help as a requested exit.
    const { message, into } = result.error.config;
    process[into].write(`${message}\n`);
    process.exitCode = into === "stdout" ? EXIT_CODES.done : EXIT_CODES.usage;
  }
} catch (error) {
  const failure = error instanceof CliError
    ? error
    : new CliError((error as Error).message ?? String(error));
  process.stderr.write(`${failure.message}\n`);
  process.exitCode = failure.exitCode;
}
