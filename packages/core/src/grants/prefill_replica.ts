/** The queue and link book of one prefill replica. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import type { EndpointId, StreamId } from "../common/ids.ts";
import { Availability } from "./availability.ts";
import { LinkTracker, type PlannedTransfer } from "./link_tracker.ts";
import { PrefixHints } from "./prefix_hints.ts";

/** One granted prefill, until its result has left. */
export interface PrefillJob {
  readonly stream: StreamId;
  readonly promptTokens: number;
  readonly uncachedTokens: number;
  readonly blocks: readonly string[];
  readonly expectedMs: number;
  /** Time of its transfer when alone on the link. */
  readonly transferMs: number;
  /** When its transfer must have ended for the first token to be in time. */
  readonly transferDueAtMs: number;
  readonly grantedAtMs: number;
  readonly isolated: boolean;
  endedAtMs: number | undefined;
  /** Whether another transfer shared the link at any time. */
  linkShared: boolean;
}

/** A job that nobody ends is dropped after this long. */
const JOB_LIMIT_MS = 10_000;

/** Keeps the book of one prefill replica. */
export class PrefillReplica extends Availability {
  readonly id: EndpointId;
  readonly hints = new PrefixHints();
  readonly link = new LinkTracker();
  /** Prefill work that the last report showed waiting, in tokens. */
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

  /** Finds a job. */
  findJob(stream: StreamId): PrefillJob | undefined {
    return this.#jobs.get(stream);
  }

  /** Notes the end of a prefill; its transfer follows. */
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
      aloneMs: job.transferMs,
      dueAtMs: job.transferDueAtMs,
    });
    this.hints.add(job.blocks, nowMs);
    return job;
  }

  /** Forgets a job whose result has left or never will. */
  removeJob(stream: StreamId, nowMs: number): PrefillJob | undefined {
    const job = this.#jobs.get(stream);
    this.link.end(stream, nowMs);
    this.#jobs.delete(stream);
    return job;
  }

  /** Jobs that have been granted and not yet ended. */
  get queuedCount(): number {
    let count = 0;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs === undefined) count += 1;
    }
    return count;
  }

  /** Prompt tokens that wait here, by the last report and by what was granted since. */
  get waitingTokens(): number {
    let tokens = this.queuedTokens;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs === undefined) tokens += job.promptTokens;
    }
    return tokens;
  }

  /** Whether a run that must be alone is here. */
  get hasIsolatedRun(): boolean {
    for (const job of this.#jobs.values()) {
      if (job.isolated && job.endedAtMs === undefined) return true;
    }
    return false;
  }

  /** Time until the jobs that are queued here are expected to be done. */
  backlogMs(nowMs: number): number {
    let totalMs = 0;
    let firstSinceMs = nowMs;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs !== undefined) continue;
      if (totalMs === 0) {
        firstSinceMs = Math.max(job.grantedAtMs, this.lastEndMs);
      }
      totalMs += job.expectedMs;
    }
    return Math.max(0, totalMs - (nowMs - firstSinceMs));
  }

  /** Transfers of the prefills that are queued here, in the order in which they are expected. */
  plannedTransfers(nowMs: number): PlannedTransfer[] {
    const planned: PlannedTransfer[] = [];
    let atMs = nowMs;
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs !== undefined) continue;
      const startedMs = Math.max(job.grantedAtMs, this.lastEndMs);
      atMs = planned.length === 0
        ? Math.max(nowMs, startedMs + job.expectedMs)
        : atMs + job.expectedMs;
      planned.push({
        stream: job.stream,
        startAtMs: atMs,
        aloneMs: job.transferMs,
        dueAtMs: job.transferDueAtMs,
      });
    }
    return planned;
  }

  /** Takes in a load report. */
  applyReport(report: LoadReport, nowMs: number): void {
    const restarted = this.recordReport(report, nowMs - report.ageMs);
    if (restarted) {
      this.#jobs.clear();
      this.hints.clear();
      this.link.clear();
    }
    this.queuedTokens = report.queuedTokens;
    for (const job of this.#jobs.values()) {
      if (nowMs - job.grantedAtMs > JOB_LIMIT_MS) {
        this.removeJob(job.stream, nowMs);
      }
    }
  }
}
