/** `teaselvalve explain` */
import { createReadStream } from "node:fs";
import process from "node:process";
import { createInterface } from "node:readline";
import { command, positional, restPositionals, string } from "cmd-ts";
import { CliError, EXIT_CODES } from "../common/cli_error.ts";
import { outputArgs, printJson, printLine } from "../common/output.ts";
import {
  explainRequest,
  type Explanation,
  formatExplanation,
} from "../explain/explain.ts";
import { type LogRecord, parseRecord } from "../explain/records.ts";

/** Explains from log lines how one request ended. */
export const explain = command({
  name: "explain",
  description: "Explains from the logs of any VMs how a request ended, and why",
  args: {
    id: positional({
      type: string,
      displayName: "id",
      description:
        "The id of the request or of one attempt, or the idempotency key",
    }),
    files: restPositionals({
      type: string,
      displayName: "file",
      description: "Log files; standard input if none is given",
    }),
    ...outputArgs,
  },
  examples: [{
    description: "One request in the logs of two VMs",
    command: "teaselvalve explain 9c41d07be2a35f68 vm-1.log vm-2.log",
  }],
  async handler({ id, files, json }) {
    const records = await readRecords(files);
    const explanation = explainRequest(records, id);
    if (!explanation) {
      throw new CliError(
        `None of ${records.length} parsed log lines has the attempt, request or key ${id}`,
        EXIT_CODES.notFound,
      );
    }
    if (json) return printJson(toJson(explanation));
    for (const line of formatExplanation(explanation)) printLine(line);
  },
});

async function readRecords(files: readonly string[]): Promise<LogRecord[]> {
  const inputs = files.length > 0
    ? files.map((file) => createReadStream(file))
    : [process.stdin];
  try {
    const recordsByInput = await Promise.all(inputs.map(readInput));
    return recordsByInput.flat();
  } catch (error) {
    throw new CliError((error as Error).message, EXIT_CODES.usage);
  }
}

async function readInput(input: NodeJS.ReadableStream): Promise<LogRecord[]> {
  const records: LogRecord[] = [];
  for await (const line of createInterface({ input })) {
    const record = parseRecord(line);
    if (record) records.push(record);
  }
  return records;
}

function toJson(explanation: Explanation): unknown {
  const flatten = ({ fields, ...record }: LogRecord) => ({
    ...record,
    ...Object.fromEntries(fields),
  });
  const { lines, around, deciding, ...rest } = explanation;
  return {
    ...rest,
    deciding: deciding && flatten(deciding),
    lines: lines.map(flatten),
    around: around.map(flatten),
  };
}
