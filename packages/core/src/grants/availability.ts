/** Whether a replica may get new work, from reports, failures and the manifest. */
import type { LoadReport } from "../ports/engines.ts";

/** After a failure a replica gets nothing for this long. */
const FAILURE_PAUSE_MS = 1_000;

/** Common to prefill and decode replicas. */
export abstract class Availability {
  /** When the last report was taken; undefined before the first. */
  reportTakenAtMs: number | undefined;
  /** Set from the manifest. */
  leavingByManifest = false;
  #boot: string | undefined;
  #leaving = false;
  #unreachable = false;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  /** Whether new work may go here now; never before a first report. */
  mayGrant(nowMs: number): boolean {
    if (this.leavingByManifest || this.#leaving || this.#unreachable) {
      return false;
    }
    if (this.reportTakenAtMs === undefined) return false;
    return nowMs - this.#failedAtMs > FAILURE_PAUSE_MS;
  }

  /** Notes that an owner's order failed here. */
  fail(nowMs: number): void {
    this.#failedAtMs = nowMs;
  }

  /** Notes that a poll found no one. */
  missReport(): void {
    this.#unreachable = true;
  }

  /** Takes in a report's state; true when the replica has restarted since the last one. */
  protected takeReport(report: LoadReport, takenAtMs: number): boolean {
    const restarted = this.#boot !== undefined && this.#boot !== report.boot;
    this.#boot = report.boot;
    this.#leaving = report.state === "leaving";
    this.#unreachable = false;
    this.reportTakenAtMs = takenAtMs;
    return restarted;
  }
}
