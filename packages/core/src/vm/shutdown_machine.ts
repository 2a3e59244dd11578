/** The steps of a graceful shutdown, as a pure state machine. */
import { assign, setup } from "xstate";

/** Why a shutdown ended before all work was done. */
export type ForcedShutdownReason = "second-signal" | "time-limit";

/** Events of a graceful shutdown. */
export type ShutdownEvent =
  | {
    readonly type: "stop";
    /** How long callers and other VMs may still consider this VM live. */
    readonly servingMs: number;
  }
  | { readonly type: "servingEnded" }
  /** No work is in progress. */
  | { readonly type: "idle" }
  | { readonly type: "cut"; readonly reason: ForcedShutdownReason };

/** Effects that the machine requests. */
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

interface ShutdownContext {
  readonly servingMs: number;
  readonly reason: ForcedShutdownReason | null;
}

/** State machine that takes a VM from serving to stopped. */
export const shutdownMachine = setup({
  types: {
    context: {} as ShutdownContext,
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
    // Still accepts new work, since callers may have cached the VM's address.
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
