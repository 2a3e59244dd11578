/** What a process uses, as the kernel counts it. */
import { readFileSync } from "node:fs";

/** Usage of one process. */
export interface ProcessUsage {
  readonly processorMs: number;
  readonly residentBytes: number;
}

const TICK_MS = 10;
const BYTES_PER_KIB = 1_024;
/** Places of user and system time in the fields after the program's name. */
const USER_TIME_FIELD = 11;
const SYSTEM_TIME_FIELD = 12;

/** Reads what a process has used so far. */
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
