/**
 * The states of one call at the VM that claims its key, from the claim to the
 * recorded result.
 */
import { setup } from "xstate";
import type { ServiceAnswer } from "../ports/services.ts";
import {
  mayHaveRun,
  type MayHaveRunReason,
  type NotRun,
  type Refusal,
} from "../common/verdict.ts";
import type { CallRowState } from "./types.ts";

/** Events of a call. */
export type CallEvent =
  | { readonly type: "start" }
  /** The claim's write was confirmed. */
  | { readonly type: "claimed" }
  /** The key's row already exists: another claim holds it, or the call was made before. */
  | { readonly type: "occupied" }
  /** The claim's write was withdrawn; it was not and will not be applied. */
  | { readonly type: "withdrawn" }
  /** The caller's deadline passed, or the table service is unavailable or too slow. */
  | { readonly type: "givenUp"; readonly refusal: NotRun }
  | { readonly type: "sendAllowed" }
  | { readonly type: "sendForbidden"; readonly refusal: NotRun }
  | { readonly type: "answered"; readonly answer: ServiceAnswer }
  /** No byte was sent to the replica, so another one may be tried. */
  | { readonly type: "anotherReplica" }
  | { readonly type: "lost"; readonly reason: MayHaveRunReason }
  | { readonly type: "recorded" };

/** The result of a call: its answer, or why there is none. */
export type CallResult =
  | { readonly kind: "answered"; readonly answer: ServiceAnswer }
  | { readonly kind: "refused"; readonly refusal: Refusal };

/** Claims, checks, sends and records one call. */
export const callMachine = setup({
  types: {
    events: {} as CallEvent,
    input: {} as { claimsBeforeSend: boolean },
    context: {} as { claimsBeforeSend: boolean },
  },
  actions: {
    writeClaim: () => {},
    withdrawClaim: () => {},
    checkSend: () => {},
    send: () => {},
    release: () => {},
    tell: (_, _params: CallResult) => {},
    record: (_, _params: CallRowState) => {},
  },
  guards: {
    sendsFirst: ({ context }) => !context.claimsBeforeSend,
  },
}).createMachine({
  context: ({ input }) => input,
  initial: "idle",
  states: {
    idle: {
      on: {
        start: [
          { guard: "sendsFirst", target: "checking", actions: "writeClaim" },
          { target: "claiming", actions: "writeClaim" },
        ],
      },
    },
    claiming: {
      on: {
        claimed: "checking",
        occupied: "occupied",
        withdrawn: "released",
        givenUp: {
          target: "abandoning",
          actions: {
            type: "tell",
            params: ({ event }) => refused(event.refusal),
          },
        },
      },
    },
    // Nothing will be sent, but the claim's write may have succeeded or still succeed.
    abandoning: {
      entry: "withdrawClaim",
      on: {
        claimed: "releasing",
        occupied: "released",
        withdrawn: "released",
      },
    },
    checking: {
      entry: "checkSend",
      on: {
        sendAllowed: "sending",
        sendForbidden: {
          target: "releasing",
          actions: {
            type: "tell",
            params: ({ event }) => refused(event.refusal),
          },
        },
      },
    },
    sending: {
      entry: "send",
      on: {
        answered: {
          target: "recording",
          actions: [
            {
              type: "tell",
              params: ({ event }) => ({
                kind: "answered" as const,
                answer: event.answer,
              }),
            },
            {
              type: "record",
              params: ({ event }) => ({
                kind: "done" as const,
                answer: event.answer,
              }),
            },
          ],
        },
        anotherReplica: "checking",
        lost: {
          target: "recording",
          actions: [
            {
              type: "tell",
              params: ({ event }) => refused(mayHaveRun(event.reason)),
            },
            { type: "record", params: { kind: "unknown" as const } },
          ],
        },
      },
    },
    releasing: { entry: "release", on: { recorded: "released" } },
    recording: { on: { recorded: "recorded" } },
    occupied: { type: "final" },
    released: { type: "final" },
    recorded: { type: "final" },
  },
});

function refused(refusal: Refusal): CallResult {
  return { kind: "refused", refusal };
}
