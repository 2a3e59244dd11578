/**
 * The status of one request body: unproven, trusted, suspected or quarantined (the
 * state `convicted`).
 */
import { setup } from "xstate";

/**
 * Events that change a status: ends of runs, and statuses received from other VMs or
 * read from the table.
 */
export type SuspectStatusEvent =
  | { readonly type: "finished" }
  | { readonly type: "crashed"; readonly alone: boolean }
  | { readonly type: "suspicionSeen" }
  /** Another VM or the table reports a quarantine. */
  | { readonly type: "convictionSeen" }
  | { readonly type: "trustSeen" };

/**
 * A crash makes a body suspected; a replica's crash during an isolated run
 * quarantines it. A finished run makes it trusted, unless it is quarantined: a
 * quarantine ends only when it expires.
 */
export const suspectStatusMachine = setup({
  types: { events: {} as SuspectStatusEvent },
  guards: {
    wasAlone: ({ event }) => event.type === "crashed" && event.alone,
  },
}).createMachine({
  initial: "unproven",
  on: { convictionSeen: ".convicted" },
  states: {
    unproven: {
      on: {
        finished: "trusted",
        trustSeen: "trusted",
        crashed: [
          { guard: "wasAlone", target: "convicted" },
          { target: "suspected" },
        ],
        suspicionSeen: "suspected",
      },
    },
    trusted: {
      on: {
        crashed: [
          { guard: "wasAlone", target: "convicted" },
          { target: "suspected" },
        ],
        suspicionSeen: "suspected",
      },
    },
    suspected: {
      on: {
        finished: "trusted",
        trustSeen: "trusted",
        crashed: { guard: "wasAlone", target: "convicted" },
      },
    },
    convicted: {},
  },
});
