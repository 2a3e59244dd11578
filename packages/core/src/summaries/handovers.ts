/** Makes sure that a run which was handed to another owner has been taken. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import type { StreamId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";
import type { CancelTracker } from "./cancels.ts";

/** Time in which the new owner attaches. */
const TAKE_OVER_MS = 2_000;
const CHECK_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 500;
/** An endpoint that gives no report for this long has left the deployment. */
const GIVE_UP_MS = 600_000;

/** Options of {@link HandoverTracker}. */
export interface HandoverTrackerOptions {
  cancels: CancelTracker;
  /** Whether a run of this VM holds the stream again. */
  holdsStream: (stream: StreamId) => boolean;
}

/** Owns the hand-overs that no load report has confirmed yet. */
export class HandoverTracker {
  #context: VmContext;
  #options: HandoverTrackerOptions;
  #timers = new Set<ReturnType<typeof setTimeout>>();

  constructor(context: VmContext, options: HandoverTrackerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /** Cancels a run that a replica still lists under this VM after the time for taking it over. */
  watch(endpoint: Endpoint, stream: StreamId): void {
    const untilMs = performance.now() + TAKE_OVER_MS;
    this.#later(TAKE_OVER_MS, () => this.#check(endpoint, { stream, untilMs }));
  }

  /** Ends the checks. */
  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  async #check(
    endpoint: Endpoint,
    run: { stream: StreamId; untilMs: number },
  ): Promise<void> {
    const report = await this.#context.ports.engines.report(endpoint, {
      timeoutMs: REPORT_TIMEOUT_MS,
      fresh: true,
    });
    // A replica that refuses connections is gone, and with it what it held.
    if (report.isErr() && report.error.kind === "notSent") return;
    const isNew = report.isOk() &&
      performance.now() - report.value.ageMs >= run.untilMs;
    if (!isNew) {
      if (performance.now() - run.untilMs > GIVE_UP_MS) return;
      this.#later(CHECK_INTERVAL_MS, () => this.#check(endpoint, run));
      return;
    }
    if (!this.#isStillOurs(report.value, run.stream)) return;
    this.#context.observer.count("cancels", "not-taken-over");
    this.#options.cancels.cancel(endpoint, run.stream);
  }

  #isStillOurs({ runs }: LoadReport, stream: StreamId): boolean {
    const listed = runs.find((one) => one.stream === stream);
    return listed?.owner.incarnation === this.#context.identity.incarnation &&
      !this.#options.holdsStream(stream);
  }

  #later(waitMs: number, action: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void action();
    }, waitMs);
    this.#timers.add(timer);
  }
}
