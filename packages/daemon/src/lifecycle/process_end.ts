/** Explains in a last log line why the process ends. */
import process from "node:process";
import type { LogEvent, LogValue } from "@teaselvalve/core";
import type { FlushableLog } from "../observe/log.ts";
import { formatRecord } from "../observe/log.ts";
import { describeMemory } from "../observe/memory.ts";

const EXIT_FAILED = 1;

/** Options of {@link ProcessEnd}. */
export interface ProcessEndOptions {
  readonly log: FlushableLog;
  /** Fields that say what is in progress. */
  readonly describe: () => Record<string, LogValue>;
}

/** Ends the process, and logs each end except those by the platform or by V8. */
export class ProcessEnd {
  #options: ProcessEndOptions;
  #logged = false;

  constructor(options: ProcessEndOptions) {
    this.#options = options;
  }

  /** Handles errors that nothing else handles, and ends that nothing announced. */
  watch(): void {
    process.on(
      "uncaughtException",
      (error, origin) => this.fail(origin, error),
    );
    process.on("exit", (exitCode) => this.#logEnd("exit", { exitCode }));
    // A closed reader of what Node itself writes.
    process.stdout.on("error", () => {});
    process.stderr.on("error", () => {});
  }

  /** Logs an error and ends the process with code 1. */
  fail(cause: string, error: unknown): never {
    try {
      this.#logEnd(cause, {
        level: "error",
        exitCode: EXIT_FAILED,
        ...describeError(error),
      });
    } finally {
      process.exit(EXIT_FAILED);
    }
  }

  /** Logs a stop that was asked for and ends the process with code 0. */
  finish(cause: string): never {
    try {
      this.#logEnd(cause, { exitCode: 0 });
    } finally {
      process.exit(0);
    }
  }

  #logEnd(cause: string, fields: Omit<LogEvent, "event">): void {
    if (this.#logged) return;
    this.#logged = true;
    const { log } = this.#options;
    const event = {
      event: "process-ended",
      ...{ cause, ...fields },
      ...describeMemory(),
      ...this.#describe(),
      uptimeS: Math.round(process.uptime()),
    };
    log(event);
    if (!log.flush()) writeToStandardError(event);
  }

  #describe(): Record<string, LogValue> {
    try {
      return this.#options.describe();
    } catch (error) {
      return { undescribed: String(error) };
    }
  }
}

function describeError(error: unknown): Record<string, LogValue> {
  if (!(error instanceof Error)) return { error: String(error) };
  const { code } = error as { code?: unknown };
  return {
    error: error.message,
    code: code === undefined ? undefined : String(code),
    stack: error.stack,
  };
}

// The log wasn't read in time.
function writeToStandardError(event: LogEvent): void {
  const { level = "info", ...fields } = event;
  const levels = { debug: 20, info: 30, warn: 40, error: 50 };
  const record = { level: levels[level], time: new Date(), ...fields };
  process.stderr.write(formatRecord(record));
}
