/** The order of a planned stop, as a pure machine. */
import { assign, setup } from "xstate";

/** Why a stop did not wait for all work to end. */
export type ForcedShutdownReason = "second-signal" | "time-limit";

/** What happens to a VM that is told to stop. */
export type ShutdownEvent =
  | {
    readonly type: "stop";
    /** How long callers and VMs may still take this one for a live one. */
    readonly servingMs: number;
  }
  | { readonly type: "servingEnded" }
  /** No work is left. */
  | { readonly type: "idle" }
  | { readonly type: "cut"; readonly reason: ForcedShutdownReason };

/** Effects that the machine asks for. */
export type ShutdownEffect =
  | { readonly type: "announceLeaving"; readonly params: undefined }
  | {
    readonly type: "serveFor";
    readonly params: { readonly servingMs: number };
  }
  | { readonly type: "checkIdle"; readonly params: undefined }
  | { readonly type: "finish"; readonly params: undefined }
  | {
    readonly type: "cutOff";
    readonly params: { readonly reason: ForcedShutdownReason };
  };

interface StopContext {
  readonly servingMs: number;
  readonly reason: ForcedShutdownReason | null;
}

/** A VM's way from serving to stopped. */
export const shutdownMachine = setup({
  types: {
    context: {} as StopContext,
    events: {} as ShutdownEvent,
  },
  actions: {
    announceLeaving() {},
    serveFor(_, _params: { servingMs: number }) {},
    checkIdle() {},
    finish() {},
    cutOff(_, _params: { reason: ForcedShutdownReason }) {},
    takeReason: assign(({ event }) =>
      event.type === "cut" ? { reason: event.reason } : {}
    ),
  },
}).createMachine({
  id: "planned-stop",
  context: { servingMs: 0, reason: null },
  initial: "serving",
  states: {
    serving: {
      on: {
        stop: {
          target: "leaving",
          actions: assign(({ event }) => ({ servingMs: event.servingMs })),
        },
      },
    },
    // Still takes new work: callers may hold its address.
    leaving: {
      entry: [
        "announceLeaving",
        {
          type: "serveFor",
          params: ({ context }) => ({ servingMs: context.servingMs }),
        },
      ],
      on: {
        servingEnded: "draining",
        cut: { target: "cut", actions: "takeReason" },
      },
    },
    draining: {
      entry: "checkIdle",
      on: {
        idle: "stopped",
        cut: { target: "cut", actions: "takeReason" },
      },
    },
    cut: {
      entry: {
        type: "cutOff",
        params: ({ context }) => ({ reason: context.reason! }),
      },
      type: "final",
    },
    stopped: { entry: "finish", type: "final" },
  },
});
