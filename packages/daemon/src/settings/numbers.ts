/** Schemas of numbers in settings files, whose values are text. */
import { z } from "zod";

/** A decimal number as INI files and printing functions write it, with or without an exponent. */
const DECIMAL = /^[+-]?(\d+(\.\d*)?|\.\d+)(e[+-]?\d+)?$/i;
/** Longer delays overflow the runtime's timers, which then fire at once. */
export const MAX_TIMER_MS = 2 ** 31 - 1;

/** Range of a number. */
export interface NumberRange {
  min: number;
  /** Largest value; the largest exact integer if absent. */
  max?: number;
}

/**
 * A finite number in a range, in any usual notation. The error message names the
 * value and the bound that it breaks.
 */
export function decimalNumber(range: NumberRange) {
  return numberSchema({ ...range, integer: false });
}

/** As {@link decimalNumber}, but only whole numbers, `3e3` and `3000.0` among them. */
export function wholeNumber(range: NumberRange) {
  return numberSchema({ ...range, integer: true });
}

function numberSchema(
  { min, max = Number.MAX_SAFE_INTEGER, integer }: NumberRange & {
    integer: boolean;
  },
) {
  const expected = integer ? "a whole number" : "a number";
  return z.string(`Expected ${expected}`).transform((text, context) => {
    const value = DECIMAL.test(text) ? Number(text) : NaN;
    const isNumber = integer ? Number.isInteger(value) : Number.isFinite(value);
    const bound = !isNumber
      ? expected
      : value < min
      ? `at least ${min}`
      : value > max
      ? `at most ${max}`
      : null;
    if (bound === null) return value;
    context.addIssue(`Expected ${bound}, got "${text}"`);
    return z.NEVER;
  });
}
