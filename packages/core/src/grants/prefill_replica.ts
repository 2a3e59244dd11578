/** The queue and link book of one prefill replica. */
import type { Endpoint } from "../configuration/types.ts";
import type { LoadReport } from "../ports/engines.ts";
import type { EndpointId, StreamId } from "../shared/ids.ts";
import { Availability } from "./availability.ts";
import { PrefixHints } from "./prefixes.ts";

/** One granted prefill, until its result has left. */
export interface PrefillJob {
  readonly stream: StreamId;
  readonly promptTokens: number;
  readonly uncachedTokens: number;
  readonly blocks: readonly string[];
  readonly expectedMs: number;
  readonly grantedAtMs: number;
  readonly alone: boolean;
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
  add(job: PrefillJob): void {
    this.#jobs.set(job.stream, job);
  }

  /** Finds a job. */
  job(stream: StreamId): PrefillJob | undefined {
    return this.#jobs.get(stream);
  }

  /** Notes the end of a prefill; its transfer follows. */
  end(stream: StreamId, nowMs: number): PrefillJob | undefined {
    const job = this.#jobs.get(stream);
    if (!job) return undefined;
    job.endedAtMs = nowMs;
    this.lastEndMs = nowMs;
    const others = this.#transferring().filter((other) => other !== job);
    for (const other of others) other.linkShared = true;
    job.linkShared = others.length > 0;
    this.hints.add(job.blocks, nowMs);
    return job;
  }

  /** Forgets a job whose result has left or never will. */
  remove(stream: StreamId): PrefillJob | undefined {
    const job = this.#jobs.get(stream);
    this.#jobs.delete(stream);
    return job;
  }

  /** Jobs that have been granted and not yet ended. */
  get queued(): number {
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
  get exclusive(): boolean {
    for (const job of this.#jobs.values()) {
      if (job.alone && job.endedAtMs === undefined) return true;
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

  /** Prompt tokens that are on the link, or will be before a new job's result is. */
  linkTokens(): number {
    let tokens = 0;
    for (const job of this.#transferring()) tokens += job.promptTokens;
    return tokens;
  }

  /** Takes in a load report. */
  report(report: LoadReport, nowMs: number): void {
    const restarted = this.takeReport(report, nowMs - report.ageMs);
    if (restarted) {
      this.#jobs.clear();
      this.hints.clear();
    }
    this.queuedTokens = report.queuedTokens;
    for (const job of this.#jobs.values()) {
      if (nowMs - job.grantedAtMs > JOB_LIMIT_MS) this.#jobs.delete(job.stream);
    }
  }

  #transferring(): PrefillJob[] {
    const jobs: PrefillJob[] = [];
    for (const job of this.#jobs.values()) {
      if (job.endedAtMs !== undefined) jobs.push(job);
    }
    return jobs;
  }
}
