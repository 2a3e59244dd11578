/** Peer methods of quotas. */
import { type App, createApp } from "../common/app.ts";
import type { Incarnation, WorkspaceId } from "../common/ids.ts";

/**
 * Asks a workspace's home, the VM that rendezvous hashing picks for it, to admit
 * waiting requests. A VM sends one at a time for each workspace.
 */
export interface AdmissionRequest {
  readonly workspace: WorkspaceId;
  readonly incarnation: Incarnation;
  /** Tokens of each request that waits for admission, oldest first. */
  readonly needs: readonly number[];
  /** The workspace's requests in flight at the VM. */
  readonly inFlight: number;
}

/** The home's answer to a {@link AdmissionRequest}. */
export interface AdmissionAnswer {
  /** How many of the waiting requests are admitted, oldest first. */
  readonly admitted: number;
  /** Time after which to retry, for each of the other requests in order. */
  readonly retryAfterMs: readonly number[];
}

/** Peer methods of quotas. */
export interface QuotasHandlers {
  "quotas/draw": (params: AdmissionRequest) => AdmissionAnswer;
}

/** Creates the app that serves the peer methods of quotas. */
export function createQuotasApp(
  handlers: QuotasHandlers,
): App<QuotasHandlers> {
  return createApp<QuotasHandlers>(handlers);
}
