/** Finds who holds a token of the administration interface. */
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
  /** Digest of the token that the settings name. */
  adminTokenHash: string;
}

/** Finds who holds a token; null when nobody does. */
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

// Every role is compared, so that the time does not show which one matched.
function findRole(roles: readonly Role[], hash: string): Role | null {
  let found: Role | null = null;
  for (const role of roles) {
    if (sameHash(role.hash, hash)) found = role;
  }
  return found;
}

function sameHash(a: string, b: string): boolean {
  return a.length === b.length &&
    timingSafeEqual(Buffer.from(a), Buffer.from(b));
}
