/** Types of measured quantities and their fitted slopes. */

/** Unit of a quantity's values; `us` is microseconds. */
export type QuantityUnit = "bytes" | "us";

/** A quantity that is measured at several sizes. */
export interface Quantity {
  readonly name: string;
  readonly unit: QuantityUnit;
  /** What one unit of size stands for, such as a VM or a request. */
  readonly per: string;
  readonly sizes: readonly number[];
  /** Short description of how it is measured. */
  readonly method: string;
  /** Measures the value at one size. */
  readonly measure: (size: number) => Promise<number> | number;
  /** Releases resources that the measurements share. */
  readonly close?: () => Promise<void> | void;
}

/** The value measured at one size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A line fitted to points, with the quality of the fit. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variation that the line explains, 0 to 1. */
  readonly rSquared: number;
  /**
   * Root mean square of the points' distances from the line, in the unit of the
   * values.
   */
  readonly residual: number;
}

/** The measurements of a quantity and the line fitted to them. */
export interface Slope extends LineFit {
  readonly name: string;
  readonly unit: QuantityUnit;
  readonly per: string;
  readonly method: string;
  readonly points: readonly Point[];
}
