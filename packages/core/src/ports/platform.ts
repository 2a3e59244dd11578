/** The platform's services as the system sees them. */
import type { Result } from "neverthrow";
import type { DataCentre, Region, VmId } from "../common/ids.ts";

/** A value that a row can hold. */
export type Json =
  | string
  | number
  | boolean
  | null
  | readonly Json[]
  | { readonly [key: string]: Json | undefined };

/** A row as read. */
export interface Row {
  readonly table: string;
  readonly key: string;
  /** Rises with every write to the row; starts at 1. */
  readonly version: number;
  readonly value: Json;
}

/** What a row must look like for a transaction to commit. */
export type RowExpectation =
  | { readonly kind: "any" }
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: number };

/** One write of a transaction. A value of null deletes the row. */
export interface RowWrite {
  readonly table: string;
  readonly key: string;
  readonly expect: RowExpectation;
  readonly value: Json;
}

/** What became of a transaction. */
export type TransactionOutcome =
  | { readonly kind: "committed" }
  | {
    readonly kind: "conflict";
    /** Indexes of the writes whose expectation failed, with the row found. */
    readonly conflicts: readonly {
      readonly index: number;
      readonly row: Row | null;
    }[];
  };

/** A failure of the platform. Only `notSent` proves that nothing took effect. */
export type StoreFailure =
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** Options of a platform call. */
export interface StoreCallOptions {
  /** After this time the call fails as `unknown`. Defaults to the client's own limit. */
  timeoutMs?: number;
}

/** A VM as the platform's lagging list shows it. */
export interface ListedVm {
  readonly id: VmId;
  readonly dataCentre: DataCentre;
  readonly region: Region;
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly state: "live" | "leaving";
}

/** The table service, the object store and the list of VMs. */
export interface PlatformPort {
  /** Commits all writes or none. */
  transact(
    writes: readonly RowWrite[],
    options?: StoreCallOptions,
  ): Promise<Result<TransactionOutcome, StoreFailure>>;
  /** Reads one row, or null where there is none. */
  read(
    table: string,
    key: string,
    options?: StoreCallOptions,
  ): Promise<Result<Row | null, StoreFailure>>;
  /** Reads up to `limit` rows whose key starts with a prefix, by key. */
  scan(
    table: string,
    prefix: string,
    options: StoreCallOptions & { limit: number; after?: string },
  ): Promise<Result<readonly Row[], StoreFailure>>;
  /** Stores an object under a name; the same name may be written again. */
  putObject(
    name: string,
    body: string,
    options?: StoreCallOptions,
  ): Promise<Result<void, StoreFailure>>;
  /** Fetches an object, or null where there is none. */
  getObject(
    name: string,
    options?: StoreCallOptions,
  ): Promise<Result<string | null, StoreFailure>>;
  /** Lists the VMs, as they were a while ago. */
  listVms(
    options?: StoreCallOptions,
  ): Promise<Result<readonly ListedVm[], StoreFailure>>;
}
