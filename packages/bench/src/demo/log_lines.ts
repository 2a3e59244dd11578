/** Reads the daemons' logs: lines of key=value pairs. */
import { readFileSync } from "node:fs";

/** The pairs of one line. */
export type LogFields = Readonly<Record<string, string>>;

const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;
const WAIT_MS = 5_000;
const POLL_MS = 20;

/** Waits for a line that has all the wanted pairs. */
export async function waitForEvent(
  file: string,
  wanted: LogFields,
): Promise<LogFields> {
  const untilMs = Date.now() + WAIT_MS;
  while (Date.now() < untilMs) {
    const found = readFileSync(file, "utf8").split("\n").map(parseLine)
      .find((fields) => matches(fields, wanted));
    if (found) return found;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`No line with ${JSON.stringify(wanted)} in ${file}`);
}

/** Parses one line. */
export function parseLine(line: string): LogFields {
  const fields: Record<string, string> = {};
  for (const [, key, value] of line.matchAll(PAIR)) {
    fields[key!] = value!.startsWith('"') ? JSON.parse(value!) : value!;
  }
  return fields;
}

function matches(fields: LogFields, wanted: LogFields): boolean {
  return Object.entries(wanted).every(([key, value]) => fields[key] === value);
}
