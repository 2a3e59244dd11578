/** Cancels runs that were handed over but not taken over by the new owner. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import type { StreamId } from "../common/ids.ts";
import type { VmContext } from "../vm/types.ts";
import type { CancelTracker } from "./cancels.ts";

/** Time within which the new owner attaches to the run. */
const TAKEOVER_TIMEOUT_MS = 2_000;
const CHECK_INTERVAL_MS = 500;
const REPORT_TIMEOUT_MS = 500;
/** An endpoint without a report for this long is taken to have been removed. */
const MAX_REPORT_GAP_MS = 600_000;

/** Options of {@link HandoverTracker}. */
export interface HandoverTrackerOptions {
  cancels: CancelTracker;
  /** Whether a run of this VM has the stream again. */
  holdsStream: (stream: StreamId) => boolean;
}

/** Tracks the handovers that no load report has confirmed yet. */
export class HandoverTracker {
  #context: VmContext;
  #options: HandoverTrackerOptions;
  #timers = new Set<ReturnType<typeof setTimeout>>();

  constructor(context: VmContext, options: HandoverTrackerOptions) {
    this.#context = context;
    this.#options = options;
  }

  /**
   * Cancels the run if, after the takeover timeout, the replica still lists this
   * VM as its owner.
   */
  watch(endpoint: Endpoint, stream: StreamId): void {
    const takeoverDueMs = performance.now() + TAKEOVER_TIMEOUT_MS;
    this.#schedule(
      TAKEOVER_TIMEOUT_MS,
      () => this.#check(endpoint, { stream, takeoverDueMs }),
    );
  }

  /** Stops all pending checks. */
  stop(): void {
    for (const timer of this.#timers) clearTimeout(timer);
    this.#timers.clear();
  }

  async #check(
    endpoint: Endpoint,
    run: { stream: StreamId; takeoverDueMs: number },
  ): Promise<void> {
    const report = await this.#context.ports.engines.report(endpoint, {
      timeoutMs: REPORT_TIMEOUT_MS,
      fresh: true,
    });
    // A replica that can't be connected to has stopped, and its runs with it.
    if (report.isErr() && report.error.kind === "notSent") return;
    const isNew = report.isOk() &&
      performance.now() - report.value.ageMs >= run.takeoverDueMs;
    if (!isNew) {
      if (performance.now() - run.takeoverDueMs > MAX_REPORT_GAP_MS) return;
      this.#schedule(CHECK_INTERVAL_MS, () => this.#check(endpoint, run));
      return;
    }
    if (!this.#isAbandoned(report.value, run.stream)) return;
    this.#context.observer.count("cancels", "not-taken-over");
    this.#options.cancels.cancel(endpoint, run.stream);
  }

  #isAbandoned({ runs }: LoadReport, stream: StreamId): boolean {
    const listed = runs.find((run) => run.stream === stream);
    return listed?.owner.incarnation === this.#context.identity.incarnation &&
      !this.#options.holdsStream(stream);
  }

  #schedule(waitMs: number, action: () => Promise<void>): void {
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      void action();
    }, waitMs);
    this.#timers.add(timer);
  }
}
