/** Processor time and memory of a process, read from `/proc`. */
import { readFileSync } from "node:fs";

/** Processor time so far, in user and system mode, and current resident memory. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentBytes: number;
}

/** Linux reports processor time in units of 10 ms. */
const TICK_MS = 10;
const BYTES_PER_KIB = 1_024;
/** Indexes of user and system time among the fields after the program's name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Reads the usage of a running process. */
export function readUsage(pid: number): ProcessUsage {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  const residentKib = Number(/^VmRSS:\s+(\d+)/m.exec(status)![1]);
  return {
    processorMs:
      (Number(fields[USER_TIME_FIELD]) + Number(fields[SYSTEM_TIME_FIELD])) *
      TICK_MS,
    residentBytes: residentKib * BYTES_PER_KIB,
  };
}
