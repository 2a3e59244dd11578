/** Writes bunyan records as one line of key=value pairs each. */
import process from "node:process";
import bunyan from "bunyan";
import type { LogEvent, VmId } from "@teaselvalve/core";
import { createBoundedOutput, type LineOutput } from "./bounded_output.ts";

const PLAIN_VALUE = /^[\w.:/@+-]+$/;
const HIDDEN_FIELDS = new Set(["v", "hostname", "name", "msg", "level", "pid"]);

/** Options of {@link createLog}. */
export interface LogOptions {
  vm: VmId;
  level: "debug" | "info" | "warn" | "error";
  /** Standard output by default, where lines are dropped rather than waited for. */
  output?: Pick<LineOutput, "write">;
}

/** Writes an event's line. */
export type Log = (event: LogEvent) => void;

/** Creates the log of one daemon. */
export function createLog(options: LogOptions): Log {
  const output = options.output ??
    createStandardOutput((lines) =>
      log({ event: "log-lines-dropped", level: "warn", lines })
    );
  const lines = {
    write: (record: Record<string, unknown>) =>
      output.write(formatRecord(record)),
  };
  const logger = bunyan.createLogger({
    name: "teaselvalved",
    vm: options.vm,
    streams: [{
      type: "raw",
      level: options.level,
      stream: lines as unknown as NodeJS.WritableStream,
    }],
  });
  const log: Log = ({ level = "info", ...fields }) => logger[level](fields);
  return log;
}

function createStandardOutput(onDropped: (lines: number) => void): LineOutput {
  const output = createBoundedOutput({ onDropped });
  process.on("exit", () => output.flush());
  return output;
}

/** Formats one bunyan record as key=value pairs. */
export function formatRecord(record: Record<string, unknown>): string {
  const level = bunyan.nameFromLevel[record.level as number] ?? "info";
  const { time, ...rest } = record;
  const when = time instanceof Date ? time.toISOString() : String(time);
  const pairs = [`time=${when}`, `level=${level}`];
  for (const [key, value] of Object.entries(rest)) {
    if (HIDDEN_FIELDS.has(key) || value === undefined) continue;
    pairs.push(`${key}=${formatValue(value)}`);
  }
  return `${pairs.join(" ")}\n`;
}

function formatValue(value: unknown): string {
  const text = typeof value === "object"
    ? JSON.stringify(value)
    : String(value);
  return PLAIN_VALUE.test(text) ? text : JSON.stringify(text);
}
