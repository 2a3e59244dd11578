/** Peer methods of grants. */
import { type App, createApp } from "../common/app.ts";
import type { GrantId, ModelName, RequestKey } from "../common/ids.ts";
import type {
  GrantAnswer,
  GrantProgress,
  GrantRequest,
  HeldGrant,
} from "./types.ts";

/** Peer methods of grants. */
export interface GrantsHandlers {
  /** Answers when the request is granted or refused, which may take its whole first-token time. */
  "grants/request": (request: GrantRequest) => Promise<GrantAnswer>;
  "grants/progress": (
    params: {
      model: ModelName;
      grant: GrantId;
      key: RequestKey;
      progress: GrantProgress;
    },
  ) => { known: boolean };
  /** Drops a request that still waits. */
  "grants/withdraw": (
    params: { model: ModelName; key: RequestKey },
  ) => { known: boolean };
  /** Tells a new home what an owner already runs. */
  "grants/register": (
    params: { grants: readonly HeldGrant[] },
  ) => { registered: number };
}

/** Lists the peer methods of grants. */
export function createGrantsApp(
  handlers: GrantsHandlers,
): App<GrantsHandlers> {
  return createApp<GrantsHandlers>(handlers);
}
