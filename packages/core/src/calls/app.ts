/** Peer methods of calls to plain services. */
import { type App, createApp } from "../common/app.ts";
import type { Incarnation, RequestKey } from "../common/ids.ts";
import type { CallOutcome } from "./types.ts";

/** Parameters of `calls/await`, which a VM sends to the claimant of a call. */
export interface AwaitParams {
  readonly key: RequestKey;
  readonly incarnation: Incarnation;
  /** Token of the claim, as read from the row. */
  readonly token: string;
  /** Id of the submission that waits; a newer one supersedes an older one. */
  readonly waiter: string;
  /** Time left until the caller stops waiting. */
  readonly deadlineInMs: number;
  /** After this time the answer is `pending`. */
  readonly timeoutMs: number;
}

/** Handlers of the peer methods. */
export interface CallsHandlers {
  /** Waits for the outcome of a call that the receiving VM claimed. */
  "calls/await": (params: AwaitParams) => Promise<CallOutcome>;
}

/** Options of {@link createCallsApp}. */
export interface CallsAppOptions {
  awaitOutcome: CallsHandlers["calls/await"];
}

/** Creates the peer app of calls. */
export function createCallsApp(options: CallsAppOptions): App<CallsHandlers> {
  return createApp<CallsHandlers>({ "calls/await": options.awaitOutcome });
}
