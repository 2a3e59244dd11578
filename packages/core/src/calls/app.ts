/** Peer methods of calls to plain services. */
import { type App, createApp } from "../shared/app.ts";
import type { Incarnation, RequestKey } from "../shared/ids.ts";
import type { CallOutcome } from "./types.ts";

/** Peer methods of calls. */
export interface CallsHandlers {
  /**
   * Waits for the outcome of a call that this VM claimed. The answer is
   * `unknown` when this incarnation doesn't hold the claim.
   */
  "calls/await": (
    params: { key: RequestKey; incarnation: Incarnation; timeoutMs: number },
  ) => Promise<CallOutcome>;
}

/** What the handlers need. */
export interface CallsAppOptions {
  awaitOutcome: CallsHandlers["calls/await"];
}

/** Lists the peer methods of calls. */
export function createCallsApp(options: CallsAppOptions): App<CallsHandlers> {
  return createApp<CallsHandlers>({ "calls/await": options.awaitOutcome });
}
