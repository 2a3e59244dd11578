/** Rows and writes as JSON bodies of the product's own platform protocol, which has no eras. */
import type { Row, RowWrite, TransactionOutcome } from "../ports/platform.ts";
import { NO_ERA, StoreVersion } from "./version.ts";

/** A row whose version is a plain number. */
export type JsonRow = Omit<Row, "version"> & { readonly version: number };

/** A write that expects a plain number. */
export type JsonWrite = Omit<RowWrite, "expect"> & {
  readonly expect:
    | { readonly kind: "any" | "absent" }
    | { readonly kind: "version"; readonly version: number | null };
};

/** The outcome of a transaction, with plain numbers. */
export type JsonOutcome =
  | { readonly kind: "committed" }
  | {
    readonly kind: "conflict";
    readonly conflicts: readonly {
      readonly index: number;
      readonly row: JsonRow | null;
    }[];
  };

/** Encodes a row; null stays null. */
export function encodeRow(row: Row | null): JsonRow | null {
  return row && { ...row, version: row.version.numberIn(NO_ERA) ?? 0 };
}

/** Decodes a row; null stays null. */
export function decodeRow(row: JsonRow | null): Row | null {
  return row && { ...row, version: new StoreVersion(row.version) };
}

/** Encodes a write. A version of another era becomes null, which no row has. */
export function encodeWrite(write: RowWrite): JsonWrite {
  const { expect } = write;
  return expect.kind === "version"
    ? {
      ...write,
      expect: { kind: "version", version: expect.version.numberIn(NO_ERA) },
    }
    : { ...write, expect };
}

/** Decodes a write. */
export function decodeWrite(write: JsonWrite): RowWrite {
  const { expect } = write;
  return expect.kind === "version"
    ? {
      ...write,
      expect: {
        kind: "version",
        version: new StoreVersion(expect.version ?? NaN),
      },
    }
    : { ...write, expect: { kind: expect.kind } };
}

/** Encodes the outcome of a transaction. */
export function encodeOutcome(outcome: TransactionOutcome): JsonOutcome {
  return outcome.kind === "committed" ? outcome : {
    kind: "conflict",
    conflicts: outcome.conflicts.map(({ index, row }) => ({
      index,
      row: encodeRow(row),
    })),
  };
}

/** Decodes the outcome of a transaction. */
export function decodeOutcome(outcome: JsonOutcome): TransactionOutcome {
  return outcome.kind === "committed" ? outcome : {
    kind: "conflict",
    conflicts: outcome.conflicts.map(({ index, row }) => ({
      index,
      row: decodeRow(row),
    })),
  };
}
