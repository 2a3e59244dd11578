/**
 * State machine of one summary at the VM that owns it. Tokens are relayed
 * without passing through the machine.
 */
import { assign, setup } from "xstate";
import type { Refusal } from "../common/verdict.ts";

/**
 * Consecutive attachments without a token after which the run is abandoned if a
 * retry is available.
 */
export const MAX_ATTACHES = 2;

/** Events of the summary's state machine. */
export type SummaryMachineEvent =
  /** This VM owns the key, and no run exists under it. */
  | { type: "registered" }
  /** This VM owns the key and has taken over the run that an engine holds. */
  | { type: "located" }
  | { type: "granted" }
  /** The start time that the grant set, or the end of the back-off, is reached. */
  | { type: "due" }
  | { type: "prefilled" }
  | { type: "started" }
  | { type: "finished" }
  /** The attachment broke or is unresponsive; the run may still exist. */
  | { type: "broken"; progressed: boolean }
  /**
   * The decode replica rejected the run or the transfer failed, and the
   * prefill's result is still kept.
   */
  | { type: "resultKept" }
  /** The attempt failed, and a retry is allowed. */
  | { type: "failed" }
  /** No answer can be given; the caller receives the refusal. */
  | { type: "refused"; refusal: Refusal }
  /** A newer connection of the same caller reached this VM. */
  | { type: "reconnected" }
  /** This VM did not run for a time. */
  | { type: "frozen" }
  /** No newer owner of the key was found. */
  | { type: "verified" }
  /**
   * Another VM owns the key. The run goes on if `keepsRun`, else it is ended.
   */
  | { type: "superseded"; refusal: Refusal; keepsRun: boolean }
  /** The caller disconnected. */
  | { type: "left" };

/** Parameters of each effect, by the effect's name. */
export interface SummaryEffects {
  register: undefined;
  verify: undefined;
  askGrant: undefined;
  waitForStart: undefined;
  orderPrefill: undefined;
  startDecode: undefined;
  attach: undefined;
  detach: undefined;
  /** Releases the decode replica and requests another one. */
  reassign: undefined;
  /** Frees all resources that the attempt holds, at engines and shard homes. */
  abandon: undefined;
  backOff: { retries: number };
  markAnswered: undefined;
  /** Frees the summary's key at its home. */
  forget: undefined;
  /** Sends the refusal to the caller. */
  tell: { refusal: Refusal };
  close: undefined;
}

interface SummaryContext {
  /** Whether a decode replica may hold the run. */
  decoding: boolean;
  /** Consecutive attachments without a token. */
  attaches: number;
  retries: number;
  /** Whether the attempt was already reassigned to another decode replica. */
  transferRetried: boolean;
}

/** Placeholder of an effect; `SummaryRun` executes the effects. */
function placeholder(): void {}

/** Life cycle of a summary. `SummaryRun` executes its effects. */
export const summaryMachine = setup({
  types: {
    context: {} as SummaryContext,
    events: {} as SummaryMachineEvent,
  },
  actions: {
    register: placeholder,
    verify: placeholder,
    askGrant: placeholder,
    waitForStart: placeholder,
    orderPrefill: placeholder,
    startDecode: placeholder,
    attach: placeholder,
    detach: placeholder,
    reassign: placeholder,
    abandon: placeholder,
    backOff: (_, _params: { retries: number }) => {},
    markAnswered: placeholder,
    forget: placeholder,
    tell: (_, _params: { refusal: Refusal }) => {},
    close: placeholder,
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
    /**
     * Requests another decode replica for a prefill result that is still kept.
     */
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
