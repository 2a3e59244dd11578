/** State machine, without side effects, of another VM in the local view. */
import { assign, setup } from "xstate";
import type { Incarnation } from "../common/ids.ts";

/**
 * How long a VM that is unlisted or has announced that it leaves stays suspected
 * before it counts as dead.
 */
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
    readonly type: "suspicionReceived";
    readonly statusVersion: number;
    readonly atMs: number;
  }
  /** No direct or indirect probe of the VM was answered. */
  | { readonly type: "probeFailed"; readonly atMs: number }
  /** The VM's state in the platform's list changed. */
  | { readonly type: "listed"; readonly listing: Listing }
  /** Time has passed; a suspicion may have lasted long enough. */
  | { readonly type: "timePassed"; readonly atMs: number };

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
    isCurrentSuspicion: ({ context, event }) =>
      event.type === "suspicionReceived" &&
      event.statusVersion >= context.statusVersion,
    isExpiredAndUnlisted: ({ context, event }) =>
      event.type === "timePassed" && context.listing === "absent" &&
      event.atMs - context.suspectedAtMs >= SUSPICION_MS,
    isExpiredAndLeaving: ({ context, event }) =>
      event.type === "timePassed" && context.announced === "leaving" &&
      event.atMs - context.suspectedAtMs >= SUSPICION_MS,
  },
  actions: {
    storeStatus: assign(({ context, event }) =>
      event.type !== "heard" ? {} : {
        statusVersion: event.statusVersion,
        announced: event.announced,
        incarnation: event.incarnation ?? context.incarnation,
      }
    ),
    startSuspicion: assign(({ context, event }) => ({
      suspectedAtMs:
        event.type === "suspicionReceived" || event.type === "probeFailed"
          ? event.atMs
          : context.suspectedAtMs,
      statusVersion: event.type === "suspicionReceived"
        ? event.statusVersion
        : context.statusVersion,
    })),
    storeListing: assign(({ event }) =>
      event.type === "listed" ? { listing: event.listing } : {}
    ),
  },
}).createMachine({
  id: "member",
  context: ({ input }) => ({ ...input, suspectedAtMs: 0 }),
  initial: "answering",
  on: { listed: { actions: "storeListing" } },
  states: {
    answering: {
      on: {
        heard: { guard: "isNewer", actions: "storeStatus" },
        suspicionReceived: {
          guard: "isCurrentSuspicion",
          target: "suspected",
          actions: "startSuspicion",
        },
        probeFailed: { target: "suspected", actions: "startSuspicion" },
      },
    },
    suspected: {
      on: {
        heard: {
          guard: "isNewer",
          target: "answering",
          actions: "storeStatus",
        },
        timePassed: [
          { guard: "isExpiredAndUnlisted", target: "dead" },
          { guard: "isExpiredAndLeaving", target: "dead" },
        ],
      },
    },
    dead: {
      on: {
        heard: {
          guard: "isNewer",
          target: "answering",
          actions: "storeStatus",
        },
      },
    },
  },
});
