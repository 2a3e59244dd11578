/** Reads daemon logs, which are lines of key=value pairs. */
import { readFileSync } from "node:fs";

/** Fields of a log line, with quoted values unescaped. */
export type LogFields = Readonly<Record<string, string>>;

const PAIR = /(\w+)=("(?:[^"\\]|\\.)*"|\S+)/g;
const TIMEOUT_MS = 5_000;
const POLL_MS = 20;

/** Polls a log file for a line with all expected fields; throws after 5 seconds. */
export async function waitForEvent(
  file: string,
  expected: LogFields,
): Promise<LogFields> {
  const deadlineMs = Date.now() + TIMEOUT_MS;
  while (Date.now() < deadlineMs) {
    const match = readFileSync(file, "utf8").split("\n").map(parseLine)
      .find((fields) => matches(fields, expected));
    if (match) return match;
    await new Promise((resolve) => setTimeout(resolve, POLL_MS));
  }
  throw new Error(`No log line with ${JSON.stringify(expected)} in ${file}`);
}

/** Parses one log line; text that is not a key=value pair is skipped. */
export function parseLine(line: string): LogFields {
  const fields: Record<string, string> = {};
  for (const [, key, value] of line.matchAll(PAIR)) {
    fields[key!] = value!.startsWith('"') ? JSON.parse(value!) : value!;
  }
  return fields;
}

function matches(fields: LogFields, expected: LogFields): boolean {
  return Object.entries(expected).every(([key, value]) =>
    fields[key] === value
  );
}
