/**
 * Single measurements: heap growth, operation time, and processor time and
 * memory of processes.
 */
import { wait } from "@teaselvalve/core";
import { readFileSync } from "node:fs";
import process from "node:process";

const BATCH_MS = 15;
const BATCHES = 7;
const COLLECTION_PAUSE_MS = 20;
const STABLE_COLLECTIONS = 4;
const STABLE_TOLERANCE_BYTES = 2_000;
/** Clock ticks per second: the unit of processor time in `/proc` on Linux. */
const TICKS_PER_SECOND = 100;
const MICROS_PER_SECOND = 1_000_000;

/**
 * Measures by how many bytes the heap grows when `build` runs and its result
 * stays reachable.
 */
export async function heapGrowth(
  build: () => Promise<unknown> | unknown,
): Promise<number> {
  await collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const built = await build();
  await collectGarbage();
  const after = process.memoryUsage().heapUsed;
  keepReachable(built);
  return after - before;
}

/**
 * Measures the time of one operation, in microseconds. `run` executes `count`
 * operations. The fastest of several batches counts, as it is least affected by
 * other load on the machine.
 */
export async function operationMicros(
  run: (count: number) => Promise<void> | void,
): Promise<number> {
  let count = 1;
  for (;;) {
    const startedMs = performance.now();
    await run(count);
    if (performance.now() - startedMs >= BATCH_MS) break;
    count *= 2;
  }
  let fastestMs = Infinity;
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const startedMs = performance.now();
    await run(count);
    fastestMs = Math.min(fastestMs, performance.now() - startedMs);
  }
  return fastestMs * 1_000 / count;
}

/** Processor time that this process has used, in microseconds. */
export function ownCpuMicros(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Processor time that another process has used, in microseconds. */
export function processCpuMicros(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The process name, in parentheses, may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * MICROS_PER_SECOND / TICKS_PER_SECOND;
}

/** Resident memory of another process, in bytes. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) * 1_024;
}

/**
 * Collects garbage until the heap no longer shrinks. It pauses between
 * collections, as objects held only by promises are freed after these settle.
 */
async function collectGarbage(): Promise<void> {
  const { gc } = globalThis as { gc?: () => void };
  if (!gc) throw new Error("Start Node.js with --expose-gc");
  let smallestBytes = Infinity;
  for (let stable = 0; stable < STABLE_COLLECTIONS; stable += 1) {
    await wait(COLLECTION_PAUSE_MS);
    gc();
    const { heapUsed } = process.memoryUsage();
    if (heapUsed < smallestBytes - STABLE_TOLERANCE_BYTES) stable = 0;
    smallestBytes = Math.min(smallestBytes, heapUsed);
  }
}

let retained: unknown;

// Uses a value after the measurement, so that it is not collected earlier.
function keepReachable(value: unknown): void {
  retained = value;
  if (retained === process) throw new Error("Unexpected value");
  retained = undefined;
}
