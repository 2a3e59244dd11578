/** Fits straight lines to measured points. */
import {
  linearRegression,
  linearRegressionLine,
  rSquared,
} from "simple-statistics";
import type { LineFit, Point } from "./types.ts";

/** Minimum number of different sizes for a fit. */
export const MIN_SIZES = 4;

/** Fits a line by least squares. Throws below {@link MIN_SIZES} sizes. */
export function fitLine(points: readonly Point[]): LineFit {
  const sizes = new Set(points.map((point) => point.size));
  if (sizes.size < MIN_SIZES) {
    throw new Error(
      `A fit needs at least ${MIN_SIZES} sizes, got ${sizes.size}`,
    );
  }
  const pairs = points.map(({ size, value }) => [size, value]);
  const { m: slope, b: intercept } = linearRegression(pairs);
  const line = linearRegressionLine({ m: slope, b: intercept });
  const squares = points.map(({ size, value }) => (value - line(size)) ** 2);
  const sum = squares.reduce((total, square) => total + square, 0);
  return {
    slope,
    intercept,
    rSquared: explainedShare(points, { line, pairs }),
    residual: Math.sqrt(sum / points.length),
  };
}

/** Returns the value of a fitted line at a size. */
export function valueAt(
  fit: Pick<LineFit, "slope" | "intercept">,
  size: number,
): number {
  return fit.intercept + fit.slope * size;
}

// Equal values have no variation, so R² would be 0 / 0; the line fits them
// exactly.
function explainedShare(
  points: readonly Point[],
  options: { line: (size: number) => number; pairs: number[][] },
): number {
  const first = points[0]!.value;
  if (points.every(({ value }) => value === first)) return 1;
  return rSquared(options.pairs, options.line);
}
