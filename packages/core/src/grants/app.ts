/** Methods that VMs call on each other to request, follow and release grants. */
import { type App, createApp } from "../common/app.ts";
import type { GrantId, ModelName, RequestKey } from "../common/ids.ts";
import type {
  GrantAnswer,
  GrantProgress,
  GrantRequest,
  HeldGrant,
} from "./types.ts";

/** Peer methods that a shard's home serves to the owners of requests. */
export interface GrantsHandlers {
  /**
   * Resolves when the request is granted or refused, which may take until its
   * first token is due.
   */
  "grants/request": (request: GrantRequest) => Promise<GrantAnswer>;
  /** Reports the progress of a granted run; `known` is false if this home has no such grant. */
  "grants/progress": (
    params: {
      model: ModelName;
      grant: GrantId;
      key: RequestKey;
      progress: GrantProgress;
    },
  ) => { known: boolean };
  /** Removes a queued request, or frees the slot that it was granted. */
  "grants/withdraw": (
    params: { model: ModelName; key: RequestKey },
  ) => { known: boolean };
  /** Registers an owner's running grants at a new home; returns how many were accepted. */
  "grants/register": (
    params: { grants: readonly HeldGrant[] },
  ) => { registered: number };
}

/** Registers the handlers under their method names. */
export function createGrantsApp(
  handlers: GrantsHandlers,
): App<GrantsHandlers> {
  return createApp<GrantsHandlers>(handlers);
}
