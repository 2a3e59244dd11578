/**
 * State machine of a shard's lease at one VM: read, waited for, acquired, renewed,
 * released.
 */
import { assign, setup } from "xstate";
import type { KnownEra } from "../store/eras.ts";
import { NO_ERA, type StoreEra, type StoreVersion } from "../store/version.ts";
import {
  eraOf,
  type HeldLease,
  LEASE_MS,
  type LeaseRow,
  nextFencingNumber,
  ORDER_TIMEOUT_MS,
  type VersionedLease,
} from "./types.ts";

/** How long a holder could still act under a lease whose row is seen now. */
const MAX_HELD_MS = LEASE_MS + ORDER_TIMEOUT_MS;
/** A lease is renewed once no more than this is left of it. */
const RENEW_BELOW_MS = LEASE_MS / 2;

/** State of a lease at one VM. */
export interface LeaseState {
  readonly incarnation: LeaseRow["incarnation"];
  /** The row version last read, and when this VM first read it; null without a row. */
  readonly observed:
    | { readonly rowVersion: StoreVersion; readonly sinceMs: number }
    | null;
  /** The row last read; null if there was none. */
  readonly seen: VersionedLease | null;
  /** The store's era when the row was read. */
  readonly era: StoreEra;
  /** Whether no lease of an earlier era, which the row may not show, can still be held. */
  readonly isSettled: boolean;
  readonly held: HeldLease | null;
}

/** Events of a lease. Times are in ms of `performance.now()`. */
export type LeaseEvent =
  | { readonly type: "acquire"; readonly nowMs: number }
  | { readonly type: "release" }
  | {
    readonly type: "rowSeen";
    readonly seen: VersionedLease | null;
    readonly era: KnownEra;
    readonly nowMs: number;
  }
  | { readonly type: "written"; readonly held: HeldLease }
  /** The lease was lost, or the row could not be read or written. */
  | { readonly type: "lost" }
  | { readonly type: "released" };

/** A conditional write of the lease's row. */
export interface LeaseWrite {
  /** Version that the row must have; null if there must be no row. */
  readonly rowVersion: StoreVersion | null;
  readonly lease: Omit<LeaseRow, "write"> & { readonly era: StoreEra };
}

/** Effects of the machine, executed by `ShardLease`. */
export type LeaseEffect =
  | { readonly type: "readRow"; readonly params: undefined }
  | { readonly type: "writeRow"; readonly params: LeaseWrite }
  | { readonly type: "releaseRow"; readonly params: LeaseWrite };

/** State machine of one lease, without side effects. */
export const leaseMachine = setup({
  types: {
    context: {} as LeaseState,
    events: {} as LeaseEvent,
    input: {} as { incarnation: LeaseRow["incarnation"] },
  },
  actions: {
    readRow: () => {},
    writeRow: (_, _params: LeaseWrite) => {},
    releaseRow: (_, _params: LeaseWrite) => {},
    observe: assign(({ context, event }) => {
      if (event.type !== "rowSeen") return {};
      const { seen, nowMs } = event;
      const { era, sinceMs } = event.era;
      const isSettled = nowMs - sinceMs >= MAX_HELD_MS ||
        (seen !== null && eraOf(seen.lease) === era);
      const before = context.observed;
      const isSame = seen && before?.rowVersion.equals(seen.rowVersion);
      return {
        seen,
        era,
        isSettled,
        observed: isSame
          ? before
          : seen && { rowVersion: seen.rowVersion, sinceMs: nowMs },
      };
    }),
    hold: assign(({ event }) =>
      event.type === "written" ? { held: event.held } : {}
    ),
    forget: assign({ held: null, seen: null }),
  },
  guards: {
    // A lease may be taken if it is absent or released (`isFree`), or if its row has
    // not changed for as long as its holder could act under it (`isExpired`). After the
    // store has come back from a copy, an absent or released row proves nothing.
    isFree: ({ context }) =>
      context.isSettled &&
      (context.seen === null || context.seen.lease.released),
    isExpired: ({ context, event }) =>
      event.type === "rowSeen" && context.observed !== null &&
      event.nowMs - context.observed.sinceMs >= MAX_HELD_MS,
    hasEnded: ({ context, event }) =>
      event.type === "acquire" && context.held !== null &&
      event.nowMs >= context.held.endsAtMs,
    isRenewalDue: ({ context, event }) =>
      event.type === "acquire" && context.held !== null &&
      event.nowMs >= context.held.endsAtMs - RENEW_BELOW_MS,
  },
}).createMachine({
  context: ({ input }) => ({
    incarnation: input.incarnation,
    observed: null,
    seen: null,
    era: NO_ERA,
    isSettled: false,
    held: null,
  }),
  initial: "idle",
  states: {
    idle: { on: { acquire: "reading" } },
    reading: {
      entry: "readRow",
      on: {
        rowSeen: { actions: "observe", target: "judging" },
        lost: "idle",
      },
    },
    judging: {
      always: [
        { guard: "isFree", target: "taking" },
        { guard: "isExpired", target: "taking" },
        { target: "idle" },
      ],
    },
    taking: {
      entry: {
        type: "writeRow",
        params: ({ context }) => ({
          rowVersion: context.seen?.rowVersion ?? null,
          lease: {
            era: context.era,
            incarnation: context.incarnation,
            fencingNumber: nextFencingNumber(
              context.seen?.lease ?? null,
              context.era,
            ),
            released: false,
          },
        }),
      },
      on: {
        written: { actions: "hold", target: "held" },
        lost: { actions: "forget", target: "idle" },
      },
    },
    held: {
      on: {
        acquire: [
          { guard: "hasEnded", actions: "forget", target: "reading" },
          { guard: "isRenewalDue", target: "renewing" },
        ],
        release: "releasing",
        lost: { actions: "forget", target: "idle" },
      },
    },
    renewing: {
      entry: {
        type: "writeRow",
        params: ({ context }) => leaseWrite(context, { released: false }),
      },
      on: {
        written: { actions: "hold", target: "held" },
        lost: { actions: "forget", target: "idle" },
      },
    },
    releasing: {
      entry: {
        type: "releaseRow",
        params: ({ context }) => leaseWrite(context, { released: true }),
      },
      on: {
        released: { actions: "forget", target: "idle" },
        lost: { actions: "forget", target: "idle" },
      },
    },
  },
});

function leaseWrite(
  context: LeaseState,
  options: { released: boolean },
): LeaseWrite {
  const { fencingNumber, rowVersion } = context.held!;
  const { incarnation } = context;
  return {
    rowVersion,
    lease: {
      era: rowVersion.era,
      incarnation,
      fencingNumber,
      released: options.released,
    },
  };
}
