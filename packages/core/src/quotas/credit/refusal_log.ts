/** Logs refusals over quotas, summed up so that a flood doesn't fill the log. */
import type { WorkspaceId } from "../../common/ids.ts";
import type { Observer } from "../../common/observe.ts";

/** Minimum time between two lines about one workspace. */
const INTERVAL_MS = 5_000;

interface Refusals {
  loggedAtMs: number;
  refused: number;
  refusedByFailure: number;
  cost: number;
}

/** Counts refusals by workspace, and logs the sums since the line before. */
export class RefusalLog {
  #observer: Observer;
  #refusals = new Map<WorkspaceId, Refusals>();

  constructor(observer: Observer) {
    this.#observer = observer;
  }

  /** Records a refusal. */
  note(
    workspace: WorkspaceId,
    { reason, cost }: {
      reason: "refused" | "refused-by-failure";
      cost: number;
    },
  ): void {
    const refusals = this.#refusals.get(workspace) ??
      { loggedAtMs: -Infinity, refused: 0, refusedByFailure: 0, cost: 0 };
    this.#refusals.set(workspace, refusals);
    if (reason === "refused") refusals.refused += 1;
    else refusals.refusedByFailure += 1;
    refusals.cost += cost;
    const nowMs = performance.now();
    if (nowMs - refusals.loggedAtMs < INTERVAL_MS) return;
    const { refused, refusedByFailure } = refusals;
    this.#observer.log({
      event: "quota-exceeded",
      workspace,
      refused,
      refusedByFailure,
      cost: Math.round(refusals.cost),
    });
    this.#refusals.set(workspace, {
      loggedAtMs: nowMs,
      refused: 0,
      refusedByFailure: 0,
      cost: 0,
    });
  }
}
