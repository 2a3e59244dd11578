/** Authenticates callers by bearer token. */
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import {
  type CallerId,
  type Configuration,
  digest,
  findToken,
  type Workspace,
} from "@teaselvalve/core";

/** The authenticated caller and its workspace. */
export interface Principal {
  readonly workspace: Workspace;
  readonly caller: CallerId;
}

/** Returns the principal of a token, or null if the token is unknown, expired or revoked. */
export function authenticateCaller(
  configuration: Configuration,
  token: string | undefined,
): Principal | null {
  if (!token) return null;
  const hash = digest(token);
  const entry = findToken(configuration, hash);
  if (!entry) return null;
  const { workspace, token: known } = entry;
  // The lookup time reveals only whether a digest is known, which does not help to find a token.
  const same = timingSafeEqual(Buffer.from(known.hash), Buffer.from(hash));
  const expired = (known.expiresAtMs ?? Infinity) <= Date.now();
  if (!same || known.revoked || expired) return null;
  return { workspace, caller: known.caller };
}
