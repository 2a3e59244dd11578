/** Peer methods of quotas. */
import { type App, createApp } from "../common/app.ts";
import type { Incarnation, WorkspaceId } from "../common/ids.ts";

/** What a VM asks of a workspace's home; one question at a time for each workspace. */
export interface DrawRequest {
  readonly workspace: WorkspaceId;
  readonly incarnation: Incarnation;
  /** Tokens of each request that waits for admission, oldest first. */
  readonly needs: readonly number[];
  /** Requests in flight at the VM. */
  readonly inFlight: number;
}

/** What a home grants. */
export interface DrawAnswer {
  /** How many of the waiting requests are admitted, from the oldest. */
  readonly admitted: number;
  /** When each of the others should come back. */
  readonly retryAfterMs: readonly number[];
}

/** Peer methods of quotas. */
export interface QuotasHandlers {
  "quotas/draw": (params: DrawRequest) => DrawAnswer;
}

/** Lists the peer methods of quotas. */
export function createQuotasApp(
  handlers: QuotasHandlers,
): App<QuotasHandlers> {
  return createApp<QuotasHandlers>(handlers);
}
