/** Logs events with bunyan, each as one line of key=value pairs. */
import process from "node:process";
import bunyan from "bunyan";
import type { LogEvent, VmId } from "@teaselvalve/core";
import { createBoundedOutput, type LineOutput } from "./bounded_output.ts";

const UNQUOTED_VALUE = /^[\w.:/@+-]+$/;
const HIDDEN_FIELDS = new Set(["v", "hostname", "name", "msg", "level", "pid"]);

/** Options of {@link createLog}. */
export interface LogOptions {
  vm: VmId;
  level: "debug" | "info" | "warn" | "error";
  /** Standard output by default, which drops lines instead of blocking. */
  output?: Pick<LineOutput, "write"> & Partial<LineOutput>;
}

/** Writes an event as one line. */
export interface Log {
  (event: LogEvent): void;
}

/** A log whose buffered lines can be written at once. */
export interface FlushableLog extends Log {
  /** As {@link LineOutput.flush}. */
  flush(limitMs?: number): boolean;
}

/** Creates the log of one daemon. */
export function createLog(options: LogOptions): FlushableLog {
  const output = options.output ??
    createStandardOutput((lines) =>
      log({ event: "log-lines-dropped", level: "warn", lines })
    );
  const recordStream = {
    write: (record: Record<string, unknown>) =>
      output.write(formatRecord(record)),
  };
  const logger = bunyan.createLogger({
    name: "teaselvalved",
    vm: options.vm,
    streams: [{
      type: "raw",
      level: options.level,
      stream: recordStream as unknown as NodeJS.WritableStream,
    }],
  });
  const log: Log = ({ level = "info", ...fields }) => logger[level](fields);
  return Object.assign(log, {
    flush: (limitMs?: number) => output.flush?.(limitMs) ?? true,
  });
}

function createStandardOutput(onDropped: (lines: number) => void): LineOutput {
  const output = createBoundedOutput({ onDropped });
  process.on("exit", () => output.flush(0));
  return output;
}

/** Formats a bunyan record as a line of key=value pairs, with values quoted as JSON if needed. */
export function formatRecord(record: Record<string, unknown>): string {
  const level = bunyan.nameFromLevel[record.level as number] ?? "info";
  const { time, ...rest } = record;
  const timestamp = time instanceof Date ? time.toISOString() : String(time);
  const pairs = [`time=${timestamp}`, `level=${level}`];
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
  return UNQUOTED_VALUE.test(text) ? text : JSON.stringify(text);
}
