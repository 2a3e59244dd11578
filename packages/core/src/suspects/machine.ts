/** The standing of one request body: unproven, trusted, suspected or convicted. */
import { setup } from "xstate";

/** What changes a standing. */
export type SuspectStatusEvent =
  | { readonly type: "finished" }
  | { readonly type: "crashed"; readonly alone: boolean }
  | { readonly type: "suspicionSeen" }
  | { readonly type: "convictionSeen" }
  | { readonly type: "trustSeen" };

/** A crash raises suspicion; a crash of a run that was alone convicts. */
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
