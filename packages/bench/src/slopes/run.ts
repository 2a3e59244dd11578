/** Measures quantities, each in a process of its own. */
import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { fitLine } from "./fit.ts";
import type { Point, Quantity, Slope } from "./types.ts";

const runFile = promisify(execFile);
const LIMIT_MS = 360_000;
const TIME_ROUNDS = 2;

/** Measures one quantity in this process. */
export async function measureInProcess(quantity: Quantity): Promise<Slope> {
  const rounds: Point[][] = [];
  try {
    for (let round = 0; round < roundCount(quantity); round += 1) {
      rounds.push(await measureSizes(quantity));
    }
  } finally {
    await quantity.close?.();
  }
  const { name, unit, per, method } = quantity;
  const points = minimumOf(rounds);
  return { name, unit, per, method, points, ...fitLine(points) };
}

/** Measures one quantity in a process that does nothing else. */
export async function measureInChildProcess(
  quantity: Quantity,
): Promise<Slope> {
  const { stdout } = await runFile(
    process.execPath,
    ["--expose-gc", process.argv[1]!, "--only", quantity.name, "--here"],
    { timeout: LIMIT_MS },
  );
  return JSON.parse(stdout) as Slope;
}

async function measureSizes(quantity: Quantity): Promise<Point[]> {
  const points: Point[] = [];
  for (const size of quantity.sizes) {
    points.push({ size, value: await quantity.measure(size) });
  }
  return points;
}

// What else runs on the machine only adds to times, so the least of some rounds is nearest.
function roundCount(quantity: Quantity): number {
  return quantity.unit === "us" ? TIME_ROUNDS : 1;
}

function minimumOf(rounds: readonly Point[][]): Point[] {
  return rounds[0]!.map(({ size }, at) => ({
    size,
    value: Math.min(...rounds.map((points) => points[at]!.value)),
  }));
}
