/** The life of one summary at the VM that owns it. Tokens pass by it. */
import { assign, setup } from "xstate";
import type { Refusal } from "../common/verdict.ts";

/** Attachments in a row without a token before the run is given up. */
export const MAX_ATTACHES = 2;

/** What happens to a summary. */
export type SummaryMachineEvent =
  /** The key is this VM's and nothing runs under it. */
  | { type: "registered" }
  /** The key's run is held by an engine and is now this VM's. */
  | { type: "located" }
  | { type: "granted" }
  | { type: "due" }
  | { type: "prefilled" }
  | { type: "started" }
  | { type: "finished" }
  /** The attachment broke or is silent; the run may still be there. */
  | { type: "broken"; progressed: boolean }
  /** The decode replica took nothing, or the transfer failed; the result is still kept. */
  | { type: "resultKept" }
  /** The attempt is over; it may be tried again. */
  | { type: "failed" }
  /** There is no answer to be had; the refusal goes to the caller. */
  | { type: "refused"; refusal: Refusal }
  /** A newer connection of the same caller came in at this VM. */
  | { type: "reconnected" }
  /** This VM did not run for a while. */
  | { type: "frozen" }
  | { type: "verified" }
  /** Another VM owns the key; it has the run, or else the run is ended. */
  | { type: "superseded"; refusal: Refusal; keepsRun: boolean }
  /** The caller is gone. */
  | { type: "left" };

/** Effects by name, with what each is told. */
export interface SummaryEffects {
  register: undefined;
  verify: undefined;
  askGrant: undefined;
  waitForStart: undefined;
  orderPrefill: undefined;
  startDecode: undefined;
  attach: undefined;
  detach: undefined;
  /** Asks for another decode replica and gives the one at hand back. */
  reassign: undefined;
  /** Frees what the attempt holds anywhere. */
  abandon: undefined;
  backOff: { retries: number };
  markAnswered: undefined;
  forget: undefined;
  tell: { refusal: Refusal };
  close: undefined;
}

interface SummaryContext {
  /** Whether a decode replica holds the run. */
  decoding: boolean;
  attaches: number;
  retries: number;
  transferRetried: boolean;
}

function unused(): void {}

/** The life cycle of a summary. Its effects are carried out by the run's task. */
export const summaryMachine = setup({
  types: {
    context: {} as SummaryContext,
    events: {} as SummaryMachineEvent,
  },
  actions: {
    register: unused,
    verify: unused,
    askGrant: unused,
    waitForStart: unused,
    orderPrefill: unused,
    startDecode: unused,
    attach: unused,
    detach: unused,
    reassign: unused,
    abandon: unused,
    backOff: (_, _params: { retries: number }) => {},
    markAnswered: unused,
    forget: unused,
    tell: (_, _params: { refusal: Refusal }) => {},
    close: unused,
  },
  guards: {
    decoding: ({ context }) => context.decoding,
    transferNotRetried: ({ context }) => !context.transferRetried,
  },
}).createMachine({
  id: "summary",
  initial: "registering",
  context: {
    decoding: false,
    attaches: 0,
    retries: 0,
    transferRetried: false,
  },
  on: {
    left: { target: ".ended", actions: ["detach", "abandon", "forget"] },
    refused: {
      target: ".ended",
      actions: [
        "detach",
        "abandon",
        "forget",
        { type: "tell", params: ({ event }) => ({ refusal: event.refusal }) },
      ],
    },
    superseded: [
      {
        guard: ({ event }) => event.keepsRun,
        target: ".ended",
        actions: [
          "detach",
          { type: "tell", params: ({ event }) => ({ refusal: event.refusal }) },
        ],
      },
      {
        target: ".ended",
        actions: [
          "detach",
          "abandon",
          { type: "tell", params: ({ event }) => ({ refusal: event.refusal }) },
        ],
      },
    ],
    frozen: ".verifying",
    failed: ".backingOff",
  },
  states: {
    registering: {
      entry: "register",
      on: {
        registered: "waiting",
        located: {
          target: "attaching",
          actions: assign({ decoding: true, attaches: 0 }),
        },
        frozen: { target: "registering", reenter: true },
      },
    },
    waiting: {
      entry: "askGrant",
      on: { granted: "delayed" },
    },
    delayed: {
      entry: "waitForStart",
      on: { due: "prefilling" },
    },
    prefilling: {
      entry: "orderPrefill",
      on: { prefilled: "starting" },
    },
    starting: {
      entry: "startDecode",
      on: {
        started: {
          target: "relaying",
          actions: assign({ decoding: true, attaches: 0 }),
        },
        broken: {
          target: "attaching",
          actions: assign({ decoding: true, attaches: 0 }),
        },
        resultKept: [
          {
            guard: "transferNotRetried",
            target: "reassigning",
            actions: assign({ transferRetried: true }),
          },
          { target: "backingOff" },
        ],
      },
    },
    /** Asks for another decode replica for a result that is still kept. */
    reassigning: {
      entry: "reassign",
      on: { granted: "starting" },
    },
    relaying: {
      on: {
        finished: {
          target: "ended",
          actions: "markAnswered",
        },
        broken: [
          {
            guard: ({ event }) => event.progressed,
            target: "attaching",
            actions: assign({ attaches: 0 }),
          },
          { target: "attaching" },
        ],
        reconnected: {
          target: "attaching",
          actions: assign({ attaches: 0 }),
        },
      },
    },
    attaching: {
      entry: [
        "detach",
        assign({ attaches: ({ context }) => context.attaches + 1 }),
        "attach",
      ],
      on: {
        started: "relaying",
        finished: {
          target: "ended",
          actions: "markAnswered",
        },
        reconnected: {
          target: "attaching",
          reenter: true,
          actions: assign({ attaches: 0 }),
        },
        broken: { target: "attaching", reenter: true },
      },
    },
    backingOff: {
      entry: [
        "detach",
        "abandon",
        assign({
          decoding: false,
          attaches: 0,
          transferRetried: false,
          retries: ({ context }) => context.retries + 1,
        }),
        {
          type: "backOff",
          params: ({ context }) => ({ retries: context.retries }),
        },
      ],
      on: { due: "waiting" },
    },
    verifying: {
      entry: ["detach", "verify"],
      on: {
        frozen: { target: "verifying", reenter: true },
        verified: [
          { guard: "decoding", target: "attaching" },
          {
            target: "waiting",
            actions: "abandon",
          },
        ],
      },
    },
    ended: {
      type: "final",
      entry: "close",
    },
  },
});
