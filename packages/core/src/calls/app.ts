/** Peer methods of calls to plain services. */
import { type App, createApp } from "../common/app.ts";
import type { Incarnation, RequestKey } from "../common/ids.ts";
import type { CallOutcome } from "./types.ts";

/** What a VM asks the claimant of a call. */
export interface AwaitParams {
  readonly key: RequestKey;
  readonly incarnation: Incarnation;
  /** Token of the claim as found in the row. */
  readonly token: string;
  /** The connection that waits; a newer one supersedes an older one. */
  readonly waiter: string;
  /** Time left until the caller stops waiting. */
  readonly deadlineInMs: number;
  /** After this time the answer is `pending`. */
  readonly timeoutMs: number;
}

/** Peer methods of calls. */
export interface CallsHandlers {
  /** Waits for the outcome of a call that this VM claimed. */
  "calls/await": (params: AwaitParams) => Promise<CallOutcome>;
}

/** What the handlers need. */
export interface CallsAppOptions {
  awaitOutcome: CallsHandlers["calls/await"];
}

/** Lists the peer methods of calls. */
export function createCallsApp(options: CallsAppOptions): App<CallsHandlers> {
  return createApp<CallsHandlers>({ "calls/await": options.awaitOutcome });
}
