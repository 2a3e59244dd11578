/** Takes single measurements: heap growth, processor time, memory and time of other processes. */
import { wait } from "@teaselvalve/core";
import { readFileSync } from "node:fs";
import process from "node:process";

const BATCH_MS = 15;
const BATCHES = 7;
const COLLECTION_PAUSE_MS = 20;
const STILL_COLLECTIONS = 4;
const STILL_BYTES = 2_000;
/** Clock ticks in a second, in which Linux counts a process's time. */
const TICKS_PER_SECOND = 100;
const MICROS_PER_SECOND = 1_000_000;

/** Measures by how many bytes the heap grows while something is built and kept. */
export async function heapGrowth(
  build: () => Promise<unknown> | unknown,
): Promise<number> {
  await collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const kept = await build();
  await collectGarbage();
  const after = process.memoryUsage().heapUsed;
  keepAlive(kept);
  return after - before;
}

/** Measures the time of one operation: the fastest of several batches, so that others' load counts least. */
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
  let best = Infinity;
  for (let batch = 0; batch < BATCHES; batch += 1) {
    const startedMs = performance.now();
    await run(count);
    best = Math.min(best, performance.now() - startedMs);
  }
  return best * 1_000 / count;
}

/** Processor time that this process used, in microseconds. */
export function ownCpuMicros(): number {
  const { user, system } = process.cpuUsage();
  return user + system;
}

/** Processor time that another process used, in microseconds. */
export function processCpuMicros(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
  // The name before the last bracket may hold blanks.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return ticks * MICROS_PER_SECOND / TICKS_PER_SECOND;
}

/** Resident memory of another process. */
export function residentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, "utf8");
  return Number(/^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1]) * 1_024;
}

/** Collects until the heap no longer shrinks; what only promises hold is freed after they have settled. */
async function collectGarbage(): Promise<void> {
  const { gc } = globalThis as { gc?: () => void };
  if (!gc) throw new Error("Start node with --expose-gc");
  let smallest = Infinity;
  for (let still = 0; still < STILL_COLLECTIONS; still += 1) {
    await wait(COLLECTION_PAUSE_MS);
    gc();
    const { heapUsed } = process.memoryUsage();
    if (heapUsed < smallest - STILL_BYTES) still = 0;
    smallest = Math.min(smallest, heapUsed);
  }
}

let held: unknown;

function keepAlive(value: unknown): void {
  held = value;
  if (held === process) throw new Error("Unexpected");
  held = undefined;
}
