/** Types and role checks shared by the admin routes. */
import type {
  Configuration,
  Observer,
  Role,
  Verdict,
  Vm,
  WorkspaceId,
} from "@teaselvalve/core";
import type { Metrics } from "../observe/metrics.ts";

/** Roles from least to most privileged; each may do all that the ones before it may. */
export const ROLES = ["reader", "operator", "administrator"] as const;

/** One of {@link ROLES}. */
export type RoleName = Role["role"];

/** The authenticated sender of an admin request. */
export interface AdminPrincipal {
  readonly name: string;
  readonly role: RoleName;
  /** Workspaces that an operator may change; not used for other roles. */
  readonly workspaces: readonly WorkspaceId[];
}

/** Dependencies of the admin routes. */
export interface AdminContext {
  readonly vm: Vm;
  readonly metrics: Metrics;
  readonly observer: Observer;
}

/** An authenticated request to the administration interface. */
export interface AdminRequest {
  readonly principal: AdminPrincipal;
  /** Decoded path parameters, such as `key` in `/admin/calls/:key`. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** The parsed JSON body, or undefined if the request has none. */
  readonly body: unknown;
}

/** A response; the status defaults to 200. */
export interface AdminResponse<Body> {
  readonly status?: number;
  readonly body: Body;
}

/** Handles the requests of one route. */
export type AdminHandler<Body> = (
  request: AdminRequest,
) => Promise<Verdict<AdminResponse<Body>>> | Verdict<AdminResponse<Body>>;

/** A route: the least privileged role that may use it, and its handler. */
export interface AdminRoute<Body = unknown> {
  readonly minimumRole: RoleName;
  readonly handle: AdminHandler<Body>;
}

/**
 * Routes keyed by method and path, for instance `GET /admin/calls/:key`.
 * `Bodies` maps each key to the type of its response body.
 */
export type AdminRoutes<Bodies> = {
  readonly [Name in keyof Bodies]: AdminRoute<Bodies[Name]>;
};

/** Returns whether `role` has at least the privileges of `minimumRole`. */
export function satisfiesRole(role: RoleName, minimumRole: RoleName): boolean {
  return ROLES.indexOf(role) >= ROLES.indexOf(minimumRole);
}

/** Returns whether a principal may change a workspace. */
export function mayChangeWorkspace(
  principal: AdminPrincipal,
  workspace: WorkspaceId,
): boolean {
  if (principal.role === "administrator") return true;
  return principal.role === "operator" &&
    principal.workspaces.includes(workspace);
}

/** Returns this VM's active configuration, or null before it has one. */
export function configurationOf(context: AdminContext): Configuration | null {
  return context.vm.configuration.current();
}
