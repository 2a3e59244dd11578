/** Checks a manifest by itself and against the configuration in force; reports every error at once. */
import { err, ok, type Result } from "neverthrow";
import {
  type Endpoint,
  type Manifest,
  type ManifestError,
  ManifestSchema,
  type Scope,
  type ScopeBodies,
  SCOPES,
  type Workspace,
} from "../types.ts";
import type { WorkspaceId } from "../../common/ids.ts";
import { compareScope } from "../difference.ts";

/** What a manifest would put in force, and what it would replace. */
export interface Candidate {
  readonly manifest: Manifest;
  readonly before: Readonly<ScopeBodies>;
  readonly after: Readonly<ScopeBodies>;
}

/** Checks the form of a manifest. */
export function parseManifest(
  submission: unknown,
): Result<Manifest, ManifestError[]> {
  const parsed = ManifestSchema.safeParse(submission);
  if (parsed.success) return ok(parsed.data);
  return err(parsed.error.issues.map((issue) => ({
    path: issue.path.join("."),
    message: issue.message,
  })));
}

/** Checks what holds between scopes. */
export function checkScopes(candidate: Candidate): ManifestError[] {
  if (!candidate.after.deployment) {
    return [{
      path: "scopes.deployment",
      message: "The first manifest must have a deployment",
    }];
  }
  return [
    ...checkUnique(candidate),
    ...checkEndpoints(candidate),
    ...checkWorkspaces(candidate),
    ...checkRoles(candidate),
    ...checkLiveReplicas(candidate),
  ];
}

/** Checks that a manifest changes only some workspaces, and adds or removes none. */
export function checkAllowedWorkspaces(
  candidate: Candidate,
  allowed: readonly WorkspaceId[],
): ManifestError[] {
  const { manifest, before, after } = candidate;
  const foreign = SCOPES.filter((scope) =>
    scope !== "workspaces" && manifest.scopes[scope] !== undefined
  );
  const change = compareScope("workspaces", {
    before: before.workspaces,
    after: after.workspaces,
  });
  const changed = change.kind === "whole" ? [] : [
    ...change.removed,
    ...(change.put as readonly Workspace[]).map((workspace) => workspace.id),
  ];
  const message = "This token may not change it";
  return [
    ...foreign.map((scope) => ({ path: `scopes.${scope}`, message })),
    ...changed
      .filter((id) => !allowed.includes(id as WorkspaceId))
      .map((id) => ({ path: `scopes.workspaces.${id}`, message })),
  ];
}

/** Places an error in the manifest, or in what is in force where the manifest leaves a scope out. */
function pathOf(
  candidate: Candidate,
  scope: Scope,
  rest: string,
): string {
  return candidate.manifest.scopes[scope]
    ? `scopes.${scope}.body.${rest}`
    : `inForce.${scope}.${rest}`;
}

function checkUnique(candidate: Candidate): ManifestError[] {
  const { deployment, workspaces, endpoints, roles } = candidate.after;
  const path = (scope: Scope, rest: string) => pathOf(candidate, scope, rest);
  return [
    ...findRepeated(deployment.services.map((service, at) => ({
      value: service.name,
      path: path("deployment", `services.${at}.name`),
    }))),
    ...findRepeated(workspaces.map((workspace, at) => ({
      value: workspace.id,
      path: path("workspaces", `${at}.id`),
    }))),
    ...findRepeated(
      workspaces.flatMap((workspace, at) =>
        workspace.tokens.map((token, tokenAt) => ({
          value: token.hash,
          path: path("workspaces", `${at}.tokens.${tokenAt}.hash`),
        }))
      ),
    ),
    ...findRepeated(endpoints.map((endpoint, at) => ({
      value: endpoint.id,
      path: path("endpoints", `${at}.id`),
    }))),
    ...findRepeated(roles.map((role, at) => ({
      value: role.hash,
      path: path("roles", `${at}.hash`),
    }))),
  ];
}

function findRepeated(
  named: readonly { value: string; path: string }[],
): ManifestError[] {
  const first = new Map<string, string>();
  return named.flatMap(({ value, path }) => {
    const earlier = first.get(value);
    if (earlier === undefined) {
      first.set(value, path);
      return [];
    }
    return [{ path, message: `${value} is already used at ${earlier}` }];
  });
}

function checkEndpoints(candidate: Candidate): ManifestError[] {
  const { deployment, endpoints } = candidate.after;
  const services = new Set(deployment.services.map((service) => service.name));
  return endpoints.flatMap((endpoint, at) => {
    const path = (field: string) =>
      pathOf(candidate, "endpoints", `${at}.${field}`);
    if (endpoint.kind !== "service") {
      return endpoint.model === undefined
        ? [{ path: path("model"), message: "An engine must name its model" }]
        : [];
    }
    if (endpoint.service === undefined) {
      const message = "A replica of a service must name its service";
      return [{ path: path("service"), message }];
    }
    return services.has(endpoint.service) ? [] : [{
      path: path("service"),
      message: `The deployment has no service ${endpoint.service}`,
    }];
  });
}

function checkWorkspaces(candidate: Candidate): ManifestError[] {
  const { endpoints, workspaces } = candidate.after;
  if (candidate.manifest.allowModelWithoutReplica) return [];
  const models = new Set(endpoints.map((endpoint) => endpoint.model));
  return workspaces.flatMap((workspace, at) =>
    (workspace.models ?? []).flatMap((model, modelAt) =>
      models.has(model) ? [] : [{
        path: pathOf(candidate, "workspaces", `${at}.models.${modelAt}`),
        message: `No endpoint serves the model ${model}`,
      }]
    )
  );
}

function checkRoles(candidate: Candidate): ManifestError[] {
  const { roles, workspaces } = candidate.after;
  const known = new Set(workspaces.map((workspace) => workspace.id));
  return roles.flatMap((role, at) =>
    role.workspaces.flatMap((workspace, workspaceAt) =>
      known.has(workspace) ? [] : [{
        path: pathOf(candidate, "roles", `${at}.workspaces.${workspaceAt}`),
        message: `There is no workspace ${workspace}`,
      }]
    )
  );
}

function checkLiveReplicas(candidate: Candidate): ManifestError[] {
  if (candidate.manifest.allowModelWithoutReplica) return [];
  const left = new Set(liveRoles(candidate.after.endpoints));
  return [...new Set(liveRoles(candidate.before.endpoints))]
    .filter((role) => !left.has(role))
    .map((role) => ({
      path: pathOf(candidate, "endpoints", role),
      message:
        `This takes the last live replica (${role}) out of use; set allowModelWithoutReplica if that is meant`,
    }));
}

function liveRoles(endpoints: readonly Endpoint[]): string[] {
  return endpoints
    .filter((endpoint) => endpoint.state === "live")
    .map((endpoint) =>
      `${endpoint.kind} ${endpoint.model ?? endpoint.service}`
    );
}
