/** Pauses that endpoints ask this VM for when they refuse its requests. */
import type { Observer } from "../../common/observe.ts";
import {
  type EndpointEntry,
  type EndpointIncarnation,
  incarnationOf,
} from "../types.ts";

/** Longer pauses are shortened to this, so that a wrong value loses no endpoint for good. */
export const MAX_PAUSE_MS = 60_000;

/** Maximum time that this VM waits beyond a pause, so that VMs don't return together. */
const RETURN_SPREAD_MS = 500;

/** Options of {@link EndpointPauses}. */
export interface EndpointPausesOptions {
  /** Called when a pause begins or becomes longer. */
  onPause: (entry: EndpointEntry, untilMs: number) => void;
  observer: Observer;
  random: () => number;
}

/** The pauses of one VM, by start of an endpoint, on the monotonic clock. */
export class EndpointPauses {
  #options: EndpointPausesOptions;
  #untilMs = new Map<EndpointIncarnation, number>();

  constructor(options: EndpointPausesOptions) {
    this.#options = options;
  }

  /** Records that an endpoint wants no requests for some time from now on. */
  note(entry: EndpointEntry, askedMs: number): void {
    const pauseMs = Math.min(askedMs, MAX_PAUSE_MS);
    if (pauseMs <= 0) return;
    const nowMs = performance.now();
    const beforeMs = this.#untilMs.get(incarnationOf(entry)) ?? -Infinity;
    if (beforeMs >= nowMs + pauseMs) return;
    const { onPause, observer, random } = this.#options;
    const untilMs = nowMs + pauseMs + RETURN_SPREAD_MS * random();
    this.#deleteEnded();
    this.#untilMs.set(incarnationOf(entry), untilMs);
    onPause(entry, untilMs);
    if (beforeMs > nowMs) return;
    observer.log({
      event: "endpoint-pause",
      endpoint: entry.id,
      forMs: Math.round(pauseMs),
      askedMs: askedMs > MAX_PAUSE_MS ? Math.round(askedMs) : undefined,
    });
  }

  /** Time until an endpoint accepts requests again; 0 if it isn't pausing. */
  leftMs(entry: EndpointEntry): number {
    const untilMs = this.#untilMs.get(incarnationOf(entry));
    return untilMs === undefined ? 0 : Math.max(0, untilMs - performance.now());
  }

  // An endpoint may be gone from the directory only for a while.
  #deleteEnded(): void {
    const nowMs = performance.now();
    for (const [endpoint, untilMs] of this.#untilMs) {
      if (untilMs <= nowMs) this.#untilMs.delete(endpoint);
    }
  }
}
