/** What the routes of the administration interface are made of. */
import type {
  Configuration,
  Observer,
  Role,
  Verdict,
  Vm,
  WorkspaceId,
} from "@teaselvalve/core";
import type { Metrics } from "../observe/metrics.ts";

/** What a token of the administration interface may do, from least to most. */
export const ROLES = ["reader", "operator", "administrator"] as const;

/** A role's name. */
export type RoleName = Role["role"];

/** Who holds a token of the administration interface. */
export interface AdminPrincipal {
  readonly name: string;
  readonly role: RoleName;
  /** The workspaces that an operator may change. */
  readonly workspaces: readonly WorkspaceId[];
}

/** What every route is given when it is created. */
export interface AdminContext {
  readonly vm: Vm;
  readonly metrics: Metrics;
  readonly observer: Observer;
}

/** One request to the administration interface. */
export interface AdminRequest {
  readonly principal: AdminPrincipal;
  /** Parts of the path that the route names with a colon. */
  readonly params: Readonly<Record<string, string>>;
  readonly query: URLSearchParams;
  /** The parsed JSON body; undefined where there is none. */
  readonly body: unknown;
}

/** An answer; the status is 200 where it names none. */
export interface AdminResponse<Body> {
  readonly status?: number;
  readonly body: Body;
}

/** Answers one route. */
export type AdminHandler<Body> = (
  request: AdminRequest,
) => Promise<Verdict<AdminResponse<Body>>> | Verdict<AdminResponse<Body>>;

/** One route: the least role that may use it, and its handler. */
export interface AdminRoute<Body = unknown> {
  readonly minimumRole: RoleName;
  readonly handle: AdminHandler<Body>;
}

/**
 * Routes by method and path, for instance `GET /admin/calls/:key`. Queries and
 * commands have maps of their own, each typed by the bodies that it answers.
 */
export type AdminRoutes<Bodies> = {
  readonly [Name in keyof Bodies]: AdminRoute<Bodies[Name]>;
};

/** True where a role may do what another one may. */
export function satisfiesRole(role: RoleName, least: RoleName): boolean {
  return ROLES.indexOf(role) >= ROLES.indexOf(least);
}

/** True where a principal may change a workspace. */
export function mayChangeWorkspace(
  principal: AdminPrincipal,
  workspace: WorkspaceId,
): boolean {
  if (principal.role === "administrator") return true;
  return principal.role === "operator" &&
    principal.workspaces.includes(workspace);
}

/** Reads the configuration in force on the VM. */
export function configurationOf(context: AdminContext): Configuration | null {
  return context.vm.configuration.current();
}
