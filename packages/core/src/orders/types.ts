/** Orders to engines and the lease under which they are given. */
import type { Incarnation, ModelName } from "../common/ids.ts";

/** The table of leases. */
export const ORDERS_TABLE = "orders";
/** How long a lease lasts, on the holder's monotonic clock. */
export const LEASE_MS = 10_000;
/** Longest time from sending an order until it takes effect or never does. */
export const ORDER_TIMEOUT_MS = 2_000;
/**
 * Longest freeze between the check of the lease and the sending of an order
 * for which no order of an old holder takes effect at an endpoint that does
 * not check fencing numbers.
 */
export const MAX_SAFE_PAUSE_MS = ORDER_TIMEOUT_MS;

/** The row of one shard's lease. It is never deleted, so that fencing numbers rise. */
export interface LeaseRow {
  readonly incarnation: Incarnation;
  readonly fencingNumber: number;
  readonly released: boolean;
  /** Counts the writes of the incarnation, so that each is known by its own. */
  readonly write: number;
}

/** A lease row as read. */
export interface VersionedLease {
  readonly rowVersion: number;
  readonly lease: LeaseRow;
}

/** A lease that this VM holds. */
export interface HeldLease {
  readonly fencingNumber: number;
  readonly rowVersion: number;
  /** Counted from before the write was sent, on the clock of `performance.now`. */
  readonly endsAtMs: number;
}

/** The key of a shard's lease row. */
export function leaseKey(model: ModelName): string {
  return `lease/${model}`;
}
