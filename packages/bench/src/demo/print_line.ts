/** What the demonstration prints. */
import process from "node:process";

/** Prints one line. */
export function printLine(line = ""): void {
  process.stdout.write(`${line}\n`);
}
