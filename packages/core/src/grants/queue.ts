/** Queue of requests that wait at a shard's home for a grant. */
import type { RequestKey, WorkspaceId } from "../common/ids.ts";
import type { WaitingRequest } from "./queries/forecast.ts";
import type { GrantAnswer } from "./types.ts";

/** A queued request with the callback that answers its owner. */
export interface QueuedRequest extends WaitingRequest {
  /** Whether the first token can't be in time even in an idle shard, or is already late. */
  readonly late: boolean;
  /** Answers the owner; called exactly once. */
  readonly answer: (answer: GrantAnswer) => void;
}

/** Queued requests of one shard, with the orders in which they are served. */
export class GrantQueue {
  #waiting: QueuedRequest[] = [];

  /** Requests whose first token could be in time when they were queued. */
  get inTime(): QueuedRequest[] {
    return this.#waiting.filter((one) => !one.late);
  }

  /** All queued requests, in order of arrival. */
  get all(): readonly QueuedRequest[] {
    return this.#waiting;
  }

  /** Appends a request. */
  add(request: QueuedRequest): void {
    this.#waiting.push(request);
  }

  /** Removes a request; returns whether it was queued. */
  remove(request: QueuedRequest): boolean {
    const index = this.#waiting.indexOf(request);
    if (index === -1) return false;
    this.#waiting.splice(index, 1);
    return true;
  }

  /** Returns the queued request with this key. */
  find(key: RequestKey): QueuedRequest | undefined {
    return this.#waiting.find((one) => one.request.key === key);
  }

  /** Returns the requests by the time at which their first token is due, late requests last. */
  byDueTime(): QueuedRequest[] {
    return this.#sorted((a, b) => a.dueAtMs - b.dueAtMs);
  }

  /**
   * Order for times of overload: late requests last, then workspaces over their
   * share, then the smallest footprint first, then the earliest due.
   */
  byFootprint(options: {
    overShare: ReadonlySet<WorkspaceId>;
    footprintOf: (one: QueuedRequest) => number;
  }): QueuedRequest[] {
    const { overShare, footprintOf } = options;
    const overShareRank = (one: QueuedRequest) =>
      Number(overShare.has(one.request.workspace));
    return this.#sorted((a, b) =>
      overShareRank(a) - overShareRank(b) || footprintOf(a) - footprintOf(b) ||
      a.dueAtMs - b.dueAtMs
    );
  }

  #sorted(
    compare: (a: QueuedRequest, b: QueuedRequest) => number,
  ): QueuedRequest[] {
    return [...this.#waiting].sort((a, b) =>
      Number(a.late) - Number(b.late) || compare(a, b)
    );
  }
}
