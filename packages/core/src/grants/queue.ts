/** Requests that wait at a shard's home for their grant. */
import type { RequestKey, WorkspaceId } from "../common/ids.ts";
import type { WaitingRequest } from "./queries/forecast.ts";
import type { GrantAnswer } from "./types.ts";

/** A request that waits, with its way back. */
export interface QueuedRequest extends WaitingRequest {
  /** Its first token can't be in time even at an idle shard, or is late already. */
  readonly late: boolean;
  /** Answers the owner, once. */
  readonly answer: (answer: GrantAnswer) => void;
}

/** Keeps waiting requests. */
export class GrantQueue {
  #waiting: QueuedRequest[] = [];

  /** Requests that can still be in time. */
  get inTime(): QueuedRequest[] {
    return this.#waiting.filter((one) => !one.late);
  }

  /** All that waits. */
  get all(): readonly QueuedRequest[] {
    return this.#waiting;
  }

  /** Adds a request. */
  add(request: QueuedRequest): void {
    this.#waiting.push(request);
  }

  /** Takes a request out; true if it waited. */
  remove(request: QueuedRequest): boolean {
    const at = this.#waiting.indexOf(request);
    if (at === -1) return false;
    this.#waiting.splice(at, 1);
    return true;
  }

  /** Finds a request by its key. */
  find(key: RequestKey): QueuedRequest | undefined {
    return this.#waiting.find((one) => one.request.key === key);
  }

  /** Orders by deadline, late requests last. */
  byDeadline(): QueuedRequest[] {
    return this.#sorted((a, b) => a.dueAtMs - b.dueAtMs);
  }

  /** Orders for a time of overload: workspaces over their share last, then by what is held, then by deadline. */
  byFootprint(options: {
    overShare: ReadonlySet<WorkspaceId>;
    footprintOf: (one: QueuedRequest) => number;
  }): QueuedRequest[] {
    const { overShare, footprintOf: holdingOf } = options;
    const isOver = (one: QueuedRequest) =>
      Number(overShare.has(one.request.workspace));
    return this.#sorted((a, b) =>
      isOver(a) - isOver(b) || holdingOf(a) - holdingOf(b) ||
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
