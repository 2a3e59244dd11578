/** Versions of a store that may come back from an earlier copy. */

declare const eraBrand: unique symbol;

/**
 * One past of a store, by a number that rises when the store comes back from a copy:
 * what it acknowledged after that copy was taken is gone.
 */
export type StoreEra = number & { readonly [eraBrand]: true };

/** Era of a store that names none, and never goes back. */
export const NO_ERA = 0 as StoreEra;

/**
 * Version of a row or a table. Each era gives the same numbers out again, for other
 * content, so that a number can only be compared and used within its era.
 */
export class StoreVersion {
  readonly era: StoreEra;
  readonly #number: number;

  /** `number` counts the transactions, or the writes of a row, within an era. */
  constructor(number: number, era: StoreEra = NO_ERA) {
    this.#number = number;
    this.era = era;
  }

  /** Whether what is read as of this version follows on what was read as of an earlier one. */
  continues(earlier: StoreVersion): boolean {
    return this.era === earlier.era && this.#number >= earlier.#number;
  }

  equals(other: StoreVersion): boolean {
    return this.era === other.era && this.#number === other.#number;
  }

  /** The number, to be sent to a store of an era; null if it has another meaning there. */
  numberIn(era: StoreEra): number | null {
    return era === this.era ? this.#number : null;
  }

  /** For logs. */
  toString(): string {
    return `${this.era}.${this.#number}`;
  }

  // Throws, as comparing with `<` would ignore the era.
  [Symbol.toPrimitive](hint: string): string {
    if (hint !== "number") return this.toString();
    throw new TypeError("Versions of a store have no order of their own");
  }
}
