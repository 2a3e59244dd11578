/** Lets a stream that is bound to few endpoints try again those that it couldn't reach. */
import { wait } from "../common/wait.ts";
import type { SendFailure } from "./port.ts";
import type { RequestClock } from "./request_clock.ts";

/** Time until a stream that could not be sent is sent again. */
const PAUSE_MS = 100;
/** Largest share of its time for which a stream is sent again. */
const MAX_SHARE = 0.5;

/** The pauses of one stream between sends that reached no endpoint. */
export class UnsentPauses {
  #clock: Pick<RequestClock, "leftMs">;
  #untilMs: number | null = null;

  constructor(clock: Pick<RequestClock, "leftMs">) {
    this.#clock = clock;
  }

  /**
   * Waits before another send, and resolves with whether there may be one in addition to
   * the usual ones; with false at once after other failures.
   */
  async wait(failure: SendFailure): Promise<boolean> {
    if (failure.kind !== "notSent") return false;
    const nowMs = performance.now();
    this.#untilMs ??= nowMs + MAX_SHARE * this.#clock.leftMs();
    if (nowMs >= this.#untilMs) return false;
    await wait(PAUSE_MS);
    return true;
  }
}
