/** What is believed of one other VM, as a pure machine. */
import { assign, setup } from "xstate";
import type { Incarnation } from "../common/ids.ts";

/** How long a VM may be unlisted and silent before it counts as dead. */
export const SUSPICION_MS = 5_000;

/** What the platform's list says of a VM. */
export type Listing = "live" | "leaving" | "absent";

/** What a VM says of itself. */
export interface MemberStatus {
  readonly statusVersion: number;
  readonly incarnation: Incarnation | null;
  readonly announced: "live" | "leaving";
}

/** What is kept of a VM beside its state. */
export interface MemberContext extends MemberStatus {
  readonly listing: Listing;
  /** When its present suspicion began, on the monotonic clock. */
  readonly suspectedAtMs: number;
}

/** What can be learnt of a VM. */
export type MemberEvent =
  /** The VM's own words, directly or through others. */
  | ({ readonly type: "heard" } & MemberStatus)
  /** Others suspect the VM at this status. */
  | {
    readonly type: "accused";
    readonly statusVersion: number;
    readonly atMs: number;
  }
  /** Neither this VM nor the others that it asked got an answer. */
  | { readonly type: "unanswered"; readonly atMs: number }
  | { readonly type: "listed"; readonly listing: Listing }
  | { readonly type: "waited"; readonly atMs: number };

/** The states of a VM as another sees it. */
export const memberMachine = setup({
  types: {
    context: {} as MemberContext,
    events: {} as MemberEvent,
    input: {} as MemberStatus & { listing: Listing },
  },
  guards: {
    isNewer: ({ context, event }) =>
      event.type === "heard" && event.statusVersion > context.statusVersion,
    isCurrentAccusation: ({ context, event }) =>
      event.type === "accused" &&
      event.statusVersion >= context.statusVersion,
    isUnlistedTooLong: ({ context, event }) =>
      event.type === "waited" && context.listing === "absent" &&
      event.atMs - context.suspectedAtMs >= SUSPICION_MS,
    isLeavingTooLong: ({ context, event }) =>
      event.type === "waited" && context.announced === "leaving" &&
      event.atMs - context.suspectedAtMs >= SUSPICION_MS,
  },
  actions: {
    takeStatus: assign(({ context, event }) =>
      event.type !== "heard" ? {} : {
        statusVersion: event.statusVersion,
        announced: event.announced,
        incarnation: event.incarnation ?? context.incarnation,
      }
    ),
    startSuspicion: assign(({ context, event }) => ({
      suspectedAtMs: event.type === "accused" || event.type === "unanswered"
        ? event.atMs
        : context.suspectedAtMs,
      statusVersion: event.type === "accused"
        ? event.statusVersion
        : context.statusVersion,
    })),
    takeListing: assign(({ event }) =>
      event.type === "listed" ? { listing: event.listing } : {}
    ),
  },
}).createMachine({
  id: "member",
  context: ({ input }) => ({ ...input, suspectedAtMs: 0 }),
  initial: "answering",
  on: { listed: { actions: "takeListing" } },
  states: {
    answering: {
      on: {
        heard: { guard: "isNewer", actions: "takeStatus" },
        accused: {
          guard: "isCurrentAccusation",
          target: "suspected",
          actions: "startSuspicion",
        },
        unanswered: { target: "suspected", actions: "startSuspicion" },
      },
    },
    suspected: {
      on: {
        heard: {
          guard: "isNewer",
          target: "answering",
          actions: "takeStatus",
        },
        waited: [
          { guard: "isUnlistedTooLong", target: "dead" },
          { guard: "isLeavingTooLong", target: "dead" },
        ],
      },
    },
    dead: {
      on: {
        heard: {
          guard: "isNewer",
          target: "answering",
          actions: "takeStatus",
        },
      },
    },
  },
});
