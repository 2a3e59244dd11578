/** Memory of the process, and warnings before it reaches its limits. */
import { constants, PerformanceObserver } from "node:perf_hooks";
import process from "node:process";
import { getHeapStatistics } from "node:v8";
import type { LogValue, Observer } from "@teaselvalve/core";

const CHECK_INTERVAL_MS = 500;
const WARNING_INTERVAL_MS = 5_000;
/** Share of a limit from which its use is reported. */
const HIGH_SHARE = 0.85;
/** A limit is reported again once its use has risen by this factor. */
const NEXT_WARNING_FACTOR = 1.02;
const MB = 1e6;

/** Limits of the memory of a process, in bytes. */
export interface MemoryLimits {
  /** Limit of the resident memory; none when null. */
  readonly process: number | null;
  readonly heap: number;
}

/** The process's limits; `memoryMb` is that of its resident memory, if it has one. */
export function memoryLimits(memoryMb: number | null): MemoryLimits {
  return {
    process: memoryMb === null ? null : memoryMb * MB,
    heap: getHeapStatistics().heap_size_limit,
  };
}

/** Returns the memory as fields of a log line, in megabytes; empty if it can't be read. */
export function describeMemory(): Record<string, LogValue> {
  try {
    const usage = process.memoryUsage();
    return {
      rssMb: inMb(usage.rss),
      heapUsedMb: inMb(usage.heapUsed),
      externalMb: inMb(usage.external),
      arrayBuffersMb: inMb(usage.arrayBuffers),
    };
  } catch {
    // It is read from a file, which fails without a free descriptor.
    return {};
  }
}

/** Options of {@link MemoryWatch}. */
export interface MemoryWatchOptions {
  readonly limits: MemoryLimits;
  readonly observer: Observer;
  /** Fields that say what is in progress. */
  readonly describe: () => Record<string, LogValue>;
  /** Writes what is logged without waiting, as the process may end soon. */
  readonly flush: () => void;
}

/** Logs a warning when memory comes near a limit, as an end by the limit leaves no line. */
export class MemoryWatch {
  #options: MemoryWatchOptions;
  #timer: ReturnType<typeof setInterval> | undefined;
  #collections = new PerformanceObserver((list) => {
    if (list.getEntries().some(isMajorCollection)) this.check();
  });
  #warnedBytes = { process: 0, heap: 0 };
  #warnedAtMs = { process: -Infinity, heap: -Infinity };

  constructor(options: MemoryWatchOptions) {
    this.#options = options;
  }

  // The heap may fill up between two checks. V8 collects its garbage several times
  // before it gives up.
  start(): void {
    this.#collections.observe({ entryTypes: ["gc"] });
    this.#timer = setInterval(() => this.check(), CHECK_INTERVAL_MS).unref();
  }

  stop(): void {
    clearInterval(this.#timer);
    this.#collections.disconnect();
  }

  /**
   * Compares the memory with the limit that it is nearest to, once. A full heap brings
   * the process near its limit as well, and the last warning has to name the cause.
   */
  check(): void {
    const { limits } = this.#options;
    const heapBytes = getHeapStatistics().used_heap_size;
    const processBytes = limits.process === null ? null : residentBytes();
    const isHeapNearer = processBytes === null ||
      heapBytes / limits.heap >= processBytes / limits.process!;
    if (isHeapNearer) this.#compare("heap", heapBytes, limits.heap);
    else this.#compare("process", processBytes, limits.process!);
  }

  #compare(
    of: "process" | "heap",
    usedBytes: number,
    limitBytes: number,
  ): void {
    if (usedBytes < HIGH_SHARE * limitBytes) {
      this.#warnedBytes[of] = 0;
      return;
    }
    const nowMs = performance.now();
    if (nowMs - this.#warnedAtMs[of] < WARNING_INTERVAL_MS) return;
    if (usedBytes < NEXT_WARNING_FACTOR * this.#warnedBytes[of]) return;
    this.#warnedBytes[of] = usedBytes;
    this.#warnedAtMs[of] = nowMs;
    const { observer, describe, flush } = this.#options;
    observer.count("memory_warnings", of);
    observer.log({
      event: "memory-high",
      level: "warn",
      of,
      usedMb: inMb(usedBytes),
      limitMb: inMb(limitBytes),
      ...describeMemory(),
      ...describe(),
    });
    flush();
  }
}

// Node's types don't know the details of an entry.
function isMajorCollection(entry: object): boolean {
  const { detail } = entry as { detail: { kind: number } };
  return detail.kind === constants.NODE_PERFORMANCE_GC_MAJOR;
}

/** Returns the resident memory of the process; null if it can't be read. */
export function residentBytes(): number | null {
  try {
    return process.memoryUsage.rss();
  } catch {
    // No free descriptor.
    return null;
  }
}

function inMb(bytes: number): number {
  return Math.round(bytes / MB);
}
