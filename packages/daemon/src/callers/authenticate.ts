/** Finds the workspace and caller of a token. */
import { timingSafeEqual } from "node:crypto";
import { Buffer } from "node:buffer";
import {
  type CallerId,
  type Configuration,
  digest,
  type Workspace,
} from "@teaselvalve/core";

/** Who calls. */
export interface Principal {
  readonly workspace: Workspace;
  readonly caller: CallerId;
}

/** Finds who holds a token; null when nobody does, or it has expired or was revoked. */
export function authenticateCaller(
  configuration: Configuration,
  token: string | undefined,
): Principal | null {
  if (!token) return null;
  const hash = Buffer.from(digest(token));
  for (const workspace of configuration.bodies.workspaces) {
    for (const known of workspace.tokens) {
      if (!timingSafeEqual(Buffer.from(known.hash), hash)) continue;
      const expired = (known.expiresAtMs ?? Infinity) <= Date.now();
      return known.revoked || expired
        ? null
        : { workspace, caller: known.caller };
    }
  }
  return null;
}
