/** Finds the workspace and caller of a token. */
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import {
  type CallerId,
  type Configuration,
  digest,
  findToken,
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
  const hash = digest(token);
  const entry = findToken(configuration, hash);
  if (!entry) return null;
  const { workspace, token: known } = entry;
  // The index shows by its time only whether a digest is known, which helps nobody to a token.
  const same = timingSafeEqual(Buffer.from(known.hash), Buffer.from(hash));
  const expired = (known.expiresAtMs ?? Infinity) <= Date.now();
  if (!same || known.revoked || expired) return null;
  return { workspace, caller: known.caller };
}
