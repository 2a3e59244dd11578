/** Authenticates requests to the administration interface by bearer token. */
import { Buffer } from "node:buffer";
import { timingSafeEqual } from "node:crypto";
import { type Configuration, digest, type Role } from "@teaselvalve/core";
import type { AdminPrincipal } from "./types.ts";

const FIRST_ADMINISTRATOR: AdminPrincipal = {
  name: "first-administrator",
  role: "administrator",
  workspaces: [],
};

/** Options of {@link authenticateAdmin}. */
export interface AuthenticateAdminOptions {
  configuration: Configuration | null;
  /** Digest of the token in `secrets.adminTokenFile`. */
  adminTokenHash: string;
}

/** Returns the principal that a token belongs to, or null for an unknown token. */
export function authenticateAdmin(
  token: string | undefined,
  options: AuthenticateAdminOptions,
): AdminPrincipal | null {
  if (!token) return null;
  const hash = digest(token);
  if (sameHash(hash, options.adminTokenHash)) return FIRST_ADMINISTRATOR;
  const roles = options.configuration?.bodies.roles ?? [];
  const role = findRole(roles, hash);
  return role && {
    name: role.name,
    role: role.role,
    workspaces: role.workspaces,
  };
}

// Compares every role, so the time taken does not reveal which one matched.
function findRole(roles: readonly Role[], hash: string): Role | null {
  let match: Role | null = null;
  for (const role of roles) {
    if (sameHash(role.hash, hash)) match = role;
  }
  return match;
}

function sameHash(a: string, b: string): boolean {
  return a.length === b.length &&
    timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
