/** Whether a replica may get new work, from reports, failures and the manifest. */
import type { LoadReport } from "../ports/engines.ts";

/** After a failure a replica gets nothing for this long. */
const FAILURE_PAUSE_MS = 1_000;

/** Polls without an answer after which a replica gets nothing. */
const MISSES = 2;

/** Common to prefill and decode replicas. */
export abstract class Availability {
  /** When the last report was taken; undefined before the first. */
  reportTakenAtMs: number | undefined;
  /** Set from the manifest. */
  leavingByManifest = false;
  #boot: string | undefined;
  #leaving = false;
  #missed = 0;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  /** Whether new work may go here now; never before a first report. */
  isAvailable(nowMs: number): boolean {
    if (this.leavingByManifest || this.#leaving || this.#missed >= MISSES) {
      return false;
    }
    if (this.reportTakenAtMs === undefined) return false;
    return nowMs - this.#failedAtMs > FAILURE_PAUSE_MS;
  }

  /** Notes that an owner's order failed here. */
  recordFailure(nowMs: number): void {
    this.#failedAtMs = nowMs;
  }

  /** Notes a poll without an answer; a refused connection proves at once that no one is there. */
  recordMissedPoll(isRefused: boolean): void {
    this.#missed += isRefused ? MISSES : 1;
  }

  /** Takes in a report's state; true when the replica has restarted since the last one. */
  protected recordReport(report: LoadReport, takenAtMs: number): boolean {
    const restarted = this.#boot !== undefined && this.#boot !== report.boot;
    this.#boot = report.boot;
    this.#leaving = report.state === "leaving";
    this.#missed = 0;
    this.reportTakenAtMs = takenAtMs;
    return restarted;
  }
}
