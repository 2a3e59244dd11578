/** Looks up values of measured slopes. */
import { valueAt } from "../fit.ts";
import type { Slope } from "../types.ts";

/** Looks up slopes by quantity name; unmeasured quantities give `NaN`. */
export interface SlopeReader {
  /** Value of a quantity's fitted line at a size. */
  valueAt(name: string, size: number): number;
  /** Increase of a quantity's value per unit of size. */
  slopeOf(name: string): number;
}

/** Creates a reader of these slopes. */
export function createReader(slopes: readonly Slope[]): SlopeReader {
  const byName = new Map(slopes.map((slope) => [slope.name, slope]));
  const findLine = (name: string) =>
    byName.get(name) ?? { slope: NaN, intercept: NaN };
  return {
    valueAt: (name, size) => valueAt(findLine(name), size),
    slopeOf: (name) => findLine(name).slope,
  };
}
