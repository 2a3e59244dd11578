/** Quantities whose growth with the deployment's size is measured. */

/** What a quantity is measured in. */
export type QuantityUnit = "bytes" | "us";

/** One quantity, measured at several sizes. */
export interface Quantity {
  readonly name: string;
  readonly unit: QuantityUnit;
  /** What one step in size adds. */
  readonly per: string;
  readonly sizes: readonly number[];
  /** How it is measured, in a few words. */
  readonly method: string;
  /** Measures at one size. */
  readonly measure: (size: number) => Promise<number> | number;
  /** Frees what the measurements share. */
  readonly close?: () => Promise<void> | void;
}

/** One measurement. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A straight line through points, with its error. */
export interface LineFit {
  readonly slope: number;
  readonly intercept: number;
  /** Share of the variation that the line explains, 0 to 1. */
  readonly rSquared: number;
  /** Root mean square of the distances from the line, in the unit of the values. */
  readonly residual: number;
}

/** A measured quantity. */
export interface Slope extends LineFit {
  readonly name: string;
  readonly unit: QuantityUnit;
  readonly per: string;
  readonly method: string;
  readonly points: readonly Point[];
}
