/**
 * State machine of a shard's lease at one VM: read, waited for, acquired, renewed,
 * released.
 */
import { assign, setup } from "xstate";
import {
  type HeldLease,
  LEASE_MS,
  type LeaseRow,
  ORDER_TIMEOUT_MS,
  type VersionedLease,
} from "./types.ts";

/** A lease is renewed once no more than this is left of it. */
const RENEW_BELOW_MS = LEASE_MS / 2;

/** State of a lease at one VM. */
export interface LeaseState {
  readonly incarnation: LeaseRow["incarnation"];
  /** The row version last read (0 without a row), and when this VM first read it. */
  readonly observed:
    | { readonly rowVersion: number; readonly sinceMs: number }
    | null;
  /** The row last read; null if there was none. */
  readonly seen: VersionedLease | null;
  readonly held: HeldLease | null;
}

/** Events of a lease. Times are in ms of `performance.now()`. */
export type LeaseEvent =
  | { readonly type: "acquire"; readonly nowMs: number }
  | { readonly type: "release" }
  | {
    readonly type: "rowSeen";
    readonly seen: VersionedLease | null;
    readonly nowMs: number;
  }
  | { readonly type: "written"; readonly held: HeldLease }
  /** The lease was lost, or the row could not be read or written. */
  | { readonly type: "lost" }
  | { readonly type: "released" };

/** A conditional write of the lease's row. */
export interface LeaseWrite {
  /** Version that the row must have; null if there must be no row. */
  readonly rowVersion: number | null;
  readonly lease: Omit<LeaseRow, "write">;
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
      const rowVersion = event.seen?.rowVersion ?? 0;
      const isSame = context.observed?.rowVersion === rowVersion;
      return {
        seen: event.seen,
        observed: isSame
          ? context.observed
          : { rowVersion, sinceMs: event.nowMs },
      };
    }),
    hold: assign(({ event }) =>
      event.type === "written" ? { held: event.held } : {}
    ),
    forget: assign({ held: null, seen: null }),
  },
  guards: {
    // A lease may be taken if it is absent or released (`isFree`), or if its row has
    // not changed for as long as its holder could act under it (`isExpired`).
    isFree: ({ context }) =>
      context.seen === null || context.seen.lease.released,
    isExpired: ({ context, event }) =>
      event.type === "rowSeen" && context.observed !== null &&
      context.observed.rowVersion === event.seen?.rowVersion &&
      event.nowMs - context.observed.sinceMs >= LEASE_MS + ORDER_TIMEOUT_MS,
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
            incarnation: context.incarnation,
            fencingNumber: (context.seen?.lease.fencingNumber ?? 0) + 1,
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
    lease: { incarnation, fencingNumber, released: options.released },
  };
}
