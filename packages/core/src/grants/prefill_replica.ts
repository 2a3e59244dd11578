/** Tracks the queue, the link and the prefix cache of one prefill replica. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import type { EndpointId, StreamId } from "../common/ids.ts";
import { Replica } from "./replica.ts";
import { LinkTracker, type PlannedTransfer } from "./link_tracker.ts";
import { PrefixHints } from "./prefix_hints.ts";

/** A granted prefill, until its result has been transferred. */
export interface PrefillJob {
  readonly stream: StreamId;
  readonly promptTokens: number;
  readonly uncachedTokens: number;
  readonly blocks: readonly string[];
  /** Expected duration of the prefill. */
  readonly expectedMs: number;
  /** Expected duration of its transfer if it had the link to itself. */
  readonly transferMs: number;
  /** When its transfer must have ended for the first token to be in time. */
  readonly transferDueAtMs: number;
  readonly grantedAtMs: number;
  /** Whether nothing else may be prefilled beside it. */
  readonly isolated: boolean;
  /** When the prefill ended and its transfer started. */
  endedAtMs: number | undefined;
  /**
   * Whether its transfer has shared the link with another, so that its duration
   * doesn't show the link's speed.
   */
  linkShared: boolean;
}

/** A job whose end isn't reported is dropped this long after its grant. */
const JOB_TIMEOUT_MS = 10_000;

/** Local view of one prefill replica. */
export class PrefillReplica extends Replica {
  readonly id: EndpointId;
  readonly hints = new PrefixHints();
  readonly link = new LinkTracker();
  /** Prefill work waiting at the replica by its last report, in tokens. */
  queuedTokens = 0;
  #jobs = new Map<StreamId, PrefillJob>();
  /** When the last prefill here ended. */
  lastEndMs = 0;

  constructor(endpoint: Endpoint) {
    super();
    this.id = endpoint.id;
  }

  /** Adds a granted prefill. */
  addJob(job: PrefillJob): void {
    this.#jobs.set(job.stream, job);
  }

  /** Returns a stream's job. */
  findJob(stream: StreamId): PrefillJob | undefined {
    return this.#jobs.get(stream);
  }

  /** Records the end of a prefill and the start of its transfer; returns its job. */
  endPrefill(stream: StreamId, nowMs: number): PrefillJob | undefined {
    const job = this.#jobs.get(stream);
    if (!job) return undefined;
    job.endedAtMs = nowMs;
    this.lastEndMs = nowMs;
    for (const other of this.#jobs.values()) {
      if (other !== job && other.endedAtMs !== undefined) {
        other.linkShared = true;
        job.linkShared = true;
      }
    }
    this.link.start({
      stream,
      startAtMs: nowMs,
      unsharedMs: job.transferMs,
      dueAtMs: job.transferDueAtMs,
    });
    this.hints.add(job.blocks, nowMs);
    return job;
  }

  /** Removes a job whose transfer has ended or won't take place; returns it. */
  removeJob(stream: StreamId, nowMs: number): PrefillJob | undefined {
    const job = this.#jobs.get(stream);
    this.link.end(stream, nowMs);
    this.#jobs.delete(stream);
    return job;
  }

  /** Number of granted jobs whose prefill hasn't ended. */
  get queuedCount(): number {
    let count = 0;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs === undefined) count += 1;
    }
    return count;
  }

  /**
   * Prompt tokens waiting here: those of the last report plus those of all jobs
   * whose prefill hasn't ended.
   */
  get waitingTokens(): number {
    let tokens = this.queuedTokens;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs === undefined) tokens += job.promptTokens;
    }
    return tokens;
  }

  /** Whether an isolated job is here whose prefill hasn't ended. */
  get hasIsolatedRun(): boolean {
    for (const job of this.#jobs.values()) {
      if (job.isolated && job.endedAtMs === undefined) return true;
    }
    return false;
  }

  /** Expected time until all queued prefills have ended. */
  backlogMs(nowMs: number): number {
    let totalMs = 0;
    let firstStartMs = nowMs;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs !== undefined) continue;
      if (totalMs === 0) {
        firstStartMs = Math.max(job.grantedAtMs, this.lastEndMs);
      }
      totalMs += job.expectedMs;
    }
    return Math.max(0, totalMs - (nowMs - firstStartMs));
  }

  /** Expected transfers of the queued prefills, in order of their start. */
  plannedTransfers(nowMs: number): PlannedTransfer[] {
    const planned: PlannedTransfer[] = [];
    let startAtMs = nowMs;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs !== undefined) continue;
      const prefillStartMs = Math.max(job.grantedAtMs, this.lastEndMs);
      startAtMs = planned.length === 0
        ? Math.max(nowMs, prefillStartMs + job.expectedMs)
        : startAtMs + job.expectedMs;
      planned.push({
        stream: job.stream,
        startAtMs,
        unsharedMs: job.transferMs,
        dueAtMs: job.transferDueAtMs,
      });
    }
    return planned;
  }

  /**
   * Applies a load report: clears everything if the replica has restarted,
   * and drops overdue jobs.
   */
  applyReport(report: LoadReport, nowMs: number): void {
    const hasRestarted = this.recordReport(report, nowMs - report.ageMs);
    if (hasRestarted) {
      this.#jobs.clear();
      this.hints.clear();
      this.link.clear();
    }
    this.queuedTokens = report.queuedTokens;
    for (const job of this.#jobs.values()) {
      if (nowMs - job.grantedAtMs > JOB_TIMEOUT_MS) {
        this.removeJob(job.stream, nowMs);
      }
    }
  }
}
