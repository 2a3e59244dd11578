/** Measures quantities, each in a process of its own. */
import { execFile } from "node:child_process";
import process from "node:process";
import { promisify } from "node:util";
import { fitLine } from "./fit.ts";
import type { Point, Quantity, Slope } from "./types.ts";

const runFile = promisify(execFile);
const LIMIT_MS = 240_000;

/** Measures one quantity in this process. */
export async function measureHere(quantity: Quantity): Promise<Slope> {
  const points: Point[] = [];
  try {
    for (const size of quantity.sizes) {
      points.push({ size, value: await quantity.measure(size) });
    }
  } finally {
    await quantity.close?.();
  }
  const { name, unit, per, method } = quantity;
  return { name, unit, per, method, points, ...fitLine(points) };
}

/** Measures one quantity in a process that does nothing else. */
export async function measureApart(quantity: Quantity): Promise<Slope> {
  const { stdout } = await runFile(
    process.execPath,
    ["--expose-gc", process.argv[1]!, "--only", quantity.name, "--here"],
    { timeout: LIMIT_MS },
  );
  return JSON.parse(stdout) as Slope;
}
