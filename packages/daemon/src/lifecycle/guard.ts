/** Watches a program's process until it ends. */
import {
  type LogValue,
  type Observer,
  PROCESS_MEMORY,
} from "@teaselvalve/core";
import type { FlushableLog } from "../observe/log.ts";
import {
  type MemoryLimits,
  memoryLimits,
  MemoryWatch,
  residentBytes,
} from "../observe/memory.ts";
import type { Metrics } from "../observe/metrics.ts";
import { ProcessEnd } from "./process_end.ts";

/** What has been accepted keeps the process below this share of its limit. */
const MAX_SHARE_OF_MEMORY = 0.9;

/** Options of {@link guardProcess}. */
export interface GuardOptions {
  readonly log: FlushableLog;
  readonly observer: Observer;
  readonly metrics: Metrics;
  /** Limit of the resident memory in megabytes; none when null. */
  readonly memoryMb: number | null;
  /** Fields that say what is in progress. */
  readonly describe: () => Record<string, LogValue>;
}

/**
 * Logs why the process ends, warns before its memory does, and keeps what it accepts
 * within its memory; returns what ends it.
 */
export function guardProcess(options: GuardOptions): ProcessEnd {
  const { log, observer, metrics, memoryMb, describe } = options;
  const end = new ProcessEnd({ log, describe });
  end.watch();
  const limits = memoryLimits(memoryMb);
  metrics.watchMemoryLimits(limits);
  boundAccepted(limits);
  const flush = () => void log.flush(0);
  new MemoryWatch({ limits, observer, describe, flush }).start();
  return end;
}

function boundAccepted(limits: MemoryLimits): void {
  if (limits.process === null) return;
  PROCESS_MEMORY.measureProcess({
    limitBytes: MAX_SHARE_OF_MEMORY * limits.process,
    readBytes: residentBytes,
  });
}
