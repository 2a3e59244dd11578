/** Types of the lease that a VM must hold to give orders to engines. */
import type { Incarnation, ModelName } from "../common/ids.ts";
import { NO_ERA, type StoreEra, type StoreVersion } from "../store/version.ts";

/** Table of the lease rows. */
export const ORDERS_TABLE = "orders";
/** Duration of a lease, on the holder's monotonic clock. */
export const LEASE_MS = 10_000;
/**
 * Timeout of an order, and the time that the lease must still last when one is sent.
 * An order from `orders/task.ts` has taken effect by then or never will. A stage order
 * whose answer was lost may be executed later, for up to `UNCERTAIN_ORDER_MS` in
 * `routing/stages/task.ts`.
 */
export const ORDER_TIMEOUT_MS = 2_000;
/**
 * Longest process freeze between the check of the lease and the sending of an order
 * that is safe without fencing: after a longer one, an order of an earlier holder
 * may take effect at an endpoint that does not check fencing numbers.
 */
export const MAX_SAFE_FREEZE_MS = ORDER_TIMEOUT_MS;

/** Fencing numbers of one era of the store; more than can be taken before the next. */
const FENCING_NUMBERS_PER_ERA = 2 ** 20;

/**
 * The row of one shard's lease. It is never deleted, so that fencing numbers only
 * rise. A store that comes back from a copy may have lost it, so each era begins above
 * all numbers of the earlier ones.
 */
export interface LeaseRow {
  /** Era in which it was written; absent in rows of older builds. */
  readonly era?: StoreEra;
  readonly incarnation: Incarnation;
  readonly fencingNumber: number;
  readonly released: boolean;
  /** Number of the write within the incarnation, which identifies each write. */
  readonly write: number;
}

/** A lease row as read, with its row version. */
export interface VersionedLease {
  readonly rowVersion: StoreVersion;
  readonly lease: LeaseRow;
}

/** A lease that this VM holds. */
export interface HeldLease {
  readonly fencingNumber: number;
  readonly rowVersion: StoreVersion;
  /**
   * When the lease ends, counted from before its write was sent, in ms of
   * `performance.now()`.
   */
  readonly endsAtMs: number;
}

/** Returns the key of a shard's lease row. */
export function leaseKey(model: ModelName): string {
  return `lease/${model}`;
}

/** Returns the fencing number that follows on a row's, in the era in which it is written. */
export function nextFencingNumber(row: LeaseRow | null, era: StoreEra): number {
  return Math.max(
    (row?.fencingNumber ?? 0) + 1,
    era * FENCING_NUMBERS_PER_ERA,
  );
}

/** Returns the era in which a row was written. */
export function eraOf(row: LeaseRow): StoreEra {
  return row.era ?? NO_ERA;
}
