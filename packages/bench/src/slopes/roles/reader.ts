/** Reads values off measured slopes. */
import { valueAt } from "../fit.ts";
import type { Slope } from "../types.ts";

/** Reads slopes by name; a slope that was not measured gives `NaN`. */
export interface SlopeReader {
  /** The value of a line at a size. */
  valueAt(name: string, size: number): number;
  /** What one step in size adds. */
  slopeOf(name: string): number;
}

/** Creates a reader of slopes. */
export function createReader(slopes: readonly Slope[]): SlopeReader {
  const byName = new Map(slopes.map((slope) => [slope.name, slope]));
  const find = (name: string) =>
    byName.get(name) ?? { slope: NaN, intercept: NaN };
  return {
    valueAt: (name, size) => valueAt(find(name), size),
    slopeOf: (name) => find(name).slope,
  };
}
