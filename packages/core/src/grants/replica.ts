/**
 * State that prefill and decode replicas have in common: whether a replica may
 * get new work, by its load reports, its failures and the manifest.
 */
import type { LoadReport } from "../ports/engines.ts";

/** A replica gets no new work for this long after a failure. */
const FAILURE_COOLDOWN_MS = 1_000;

/** A replica gets no new work after this many consecutive polls without an answer. */
const MAX_MISSED_POLLS = 2;

/** Base class of prefill and decode replicas. */
export abstract class Replica {
  /** When the replica took its last report; undefined before the first one. */
  reportTakenAtMs: number | undefined;
  /** Whether the manifest marks the replica as leaving. */
  leavingByManifest = false;
  #boot: string | undefined;
  #leaving = false;
  #missedPolls = 0;
  #failedAtMs = Number.NEGATIVE_INFINITY;

  /** Whether the replica may get new work now; false until its first report. */
  isUsable(nowMs: number): boolean {
    if (
      this.leavingByManifest || this.#leaving ||
      this.#missedPolls >= MAX_MISSED_POLLS
    ) {
      return false;
    }
    if (this.reportTakenAtMs === undefined) return false;
    return nowMs - this.#failedAtMs > FAILURE_COOLDOWN_MS;
  }

  /** Records that an owner's order failed at this replica. */
  recordFailure(nowMs: number): void {
    this.#failedAtMs = nowMs;
  }

  /**
   * Records a poll without an answer. If no connection could be opened, the
   * replica gets no new work until its next report, as it probably doesn't run;
   * otherwise only after MAX_MISSED_POLLS.
   */
  recordMissedPoll(isUnreachable: boolean): void {
    this.#missedPolls += isUnreachable ? MAX_MISSED_POLLS : 1;
  }

  /**
   * Records a report's state; returns true if the replica has restarted
   * since the previous report.
   */
  protected recordReport(report: LoadReport, takenAtMs: number): boolean {
    const hasRestarted = this.#boot !== undefined && this.#boot !== report.boot;
    this.#boot = report.boot;
    this.#leaving = report.state === "leaving";
    this.#missedPolls = 0;
    this.reportTakenAtMs = takenAtMs;
    return hasRestarted;
  }
}
