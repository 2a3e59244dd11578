/** Output of the demo. */
import process from "node:process";

/** Writes a line to standard output. */
export function printLine(line = ""): void {
  process.stdout.write(`${line}\n`);
}
