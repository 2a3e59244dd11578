/** Measures a quantity, in this process or in a separate one. */
import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { fitLine } from "./fit.ts";
import type { Point, Quantity, Slope } from "./types.ts";

const runFile = promisify(execFile);
const CHILD_TIMEOUT_MS = 360_000;
const TIME_ROUNDS = 2;

/** Measures one quantity in this process and fits its slope. */
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

/** Measures one quantity in a separate process that does nothing else. */
export async function measureInChildProcess(
  quantity: Quantity,
): Promise<Slope> {
  const { stdout } = await runFile(
    process.execPath,
    ["--expose-gc", process.argv[1]!, "--only", quantity.name, "--here"],
    { timeout: CHILD_TIMEOUT_MS },
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

// Other load on the machine only adds to measured times, so the minimum over
// some rounds is most accurate.
function roundCount(quantity: Quantity): number {
  return quantity.unit === "us" ? TIME_ROUNDS : 1;
}

function minimumOf(rounds: readonly Point[][]): Point[] {
  return rounds[0]!.map(({ size }, index) => ({
    size,
    value: Math.min(...rounds.map((points) => points[index]!.value)),
  }));
}
