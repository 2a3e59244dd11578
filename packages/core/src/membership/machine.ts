/** State machine, without side effects, of another VM in the local view. */
import { assign, setup } from "xstate";
import type { Incarnation } from "../common/ids.ts";

/** How long an unlisted or leaving VM stays suspected before it counts as dead. */
export const SUSPICION_MS = 5_000;

/** State of a VM in the platform's list; `absent` if it isn't listed. */
export type Listing = "live" | "leaving" | "absent";

/** What a VM announces of itself. */
export interface MemberStatus {
  readonly statusVersion: number;
  readonly incarnation: Incarnation | null;
  readonly announced: "live" | "leaving";
}

/** Data stored with the state of a VM. */
export interface MemberContext extends MemberStatus {
  readonly listing: Listing;
  /** When the last suspicion began, in ms of `performance.now()`. */
  readonly suspectedAtMs: number;
}

/** Events that change the state of a VM in the local view. */
export type MemberEvent =
  /** The VM's announced status, received from it or through other VMs. */
  | ({ readonly type: "heard" } & MemberStatus)
  /** Another VM reports this status version of the VM as suspected or dead. */
  | {
    readonly type: "accused";
    readonly statusVersion: number;
    readonly atMs: number;
  }
  /** Neither this VM nor its helpers got an answer from the VM. */
  | { readonly type: "unanswered"; readonly atMs: number }
  /** The VM's state in the platform's list changed. */
  | { readonly type: "listed"; readonly listing: Listing }
  /** Time has passed; a suspicion may have lasted long enough. */
  | { readonly type: "waited"; readonly atMs: number };

/** The states of a VM; `answering` covers both live and leaving VMs. */
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
