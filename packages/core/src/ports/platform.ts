/** Interface to the platform's services. */
import type { Result } from "neverthrow";
import type { DataCentre, Region, VmId } from "../common/ids.ts";
import type { StoreEras } from "../store/eras.ts";
import type { StoreVersion } from "../store/version.ts";

/** A JSON value, as a row can hold it. */
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
  /**
   * Changes with every write to the row, and has no order: a store may use the number of
   * its transaction.
   */
  readonly version: StoreVersion;
  readonly value: Json;
}

/** A precondition on a row. The transaction commits only if it holds. */
export type RowExpectation =
  | { readonly kind: "any" }
  | { readonly kind: "absent" }
  | { readonly kind: "version"; readonly version: StoreVersion };

/** One write of a transaction. A value of null deletes the row. */
export interface RowWrite {
  readonly table: string;
  readonly key: string;
  readonly expect: RowExpectation;
  readonly value: Json;
}

/** The result of a transaction. */
export type TransactionOutcome =
  | { readonly kind: "committed" }
  | {
    readonly kind: "conflict";
    /** Indexes of the writes whose precondition failed, with the row found. */
    readonly conflicts: readonly {
      readonly index: number;
      readonly row: Row | null;
    }[];
  };

/** A failed platform call. Only `notSent` proves that it had no effect. */
export type StoreFailure =
  | { readonly kind: "notSent"; readonly detail: string }
  | { readonly kind: "unknown"; readonly detail: string };

/** Options of a platform call. */
export interface StoreCallOptions {
  /**
   * Time limit, after which the call fails as `unknown`. Defaults to the
   * client's own limit.
   */
  timeoutMs?: number;
}

/** A VM in the platform's list of VMs, which lags behind. */
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
  /** What is known of returns of the store from an earlier copy. */
  readonly eras: StoreEras;
  /** Commits all writes or none of them. */
  transact(
    writes: readonly RowWrite[],
    options?: StoreCallOptions,
  ): Promise<Result<TransactionOutcome, StoreFailure>>;
  /** Reads one row; null if it does not exist. */
  read(
    table: string,
    key: string,
    options?: StoreCallOptions,
  ): Promise<Result<Row | null, StoreFailure>>;
  /** Reads up to `limit` rows whose key starts with a prefix, in key order. */
  scan(
    table: string,
    prefix: string,
    options: StoreCallOptions & { limit: number; after?: string },
  ): Promise<Result<readonly Row[], StoreFailure>>;
  /** Stores an object under a name; it replaces an earlier one of that name. */
  putObject(
    name: string,
    body: string,
    options?: StoreCallOptions,
  ): Promise<Result<void, StoreFailure>>;
  /** Fetches an object; null if it does not exist. */
  getObject(
    name: string,
    options?: StoreCallOptions,
  ): Promise<Result<string | null, StoreFailure>>;
  /** Lists the VMs. The list may be out of date. */
  listVms(
    options?: StoreCallOptions,
  ): Promise<Result<readonly ListedVm[], StoreFailure>>;
}
