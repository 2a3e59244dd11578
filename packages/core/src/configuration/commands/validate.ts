/** Validates a manifest, alone and against the active configuration; reports all errors at once. */
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

/** A manifest with the scope bodies before and after it. */
export interface Candidate {
  readonly manifest: Manifest;
  readonly before: Readonly<ScopeBodies>;
  readonly after: Readonly<ScopeBodies>;
}

/** Parses a submission by the manifest schema; returns one error per schema issue. */
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

/** Checks the references and rules that involve several items or scopes. */
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

/** Checks that a manifest adds, changes and removes only allowed workspaces, and no other scope. */
export function checkAllowedWorkspaces(
  candidate: Candidate,
  allowed: readonly WorkspaceId[],
): ManifestError[] {
  const { manifest, before, after } = candidate;
  const otherScopes = SCOPES.filter((scope) =>
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
    ...otherScopes.map((scope) => ({ path: `scopes.${scope}`, message })),
    ...changed
      .filter((id) => !allowed.includes(id as WorkspaceId))
      .map((id) => ({ path: `scopes.workspaces.${id}`, message })),
  ];
}

/** Path of an error: in the manifest, or under `inForce` for a scope that the manifest omits. */
function errorPath(
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
  const path = (scope: Scope, rest: string) =>
    errorPath(candidate, scope, rest);
  return [
    ...findDuplicates(deployment.services.map((service, index) => ({
      value: service.name,
      path: path("deployment", `services.${index}.name`),
    }))),
    ...findDuplicates(workspaces.map((workspace, index) => ({
      value: workspace.id,
      path: path("workspaces", `${index}.id`),
    }))),
    ...findDuplicates(
      workspaces.flatMap((workspace, index) =>
        workspace.tokens.map((token, tokenIndex) => ({
          value: token.hash,
          path: path("workspaces", `${index}.tokens.${tokenIndex}.hash`),
        }))
      ),
    ),
    ...findDuplicates(endpoints.map((endpoint, index) => ({
      value: endpoint.id,
      path: path("endpoints", `${index}.id`),
    }))),
    ...findDuplicates(roles.map((role, index) => ({
      value: role.hash,
      path: path("roles", `${index}.hash`),
    }))),
  ];
}

function findDuplicates(
  values: readonly { value: string; path: string }[],
): ManifestError[] {
  const first = new Map<string, string>();
  return values.flatMap(({ value, path }) => {
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
  return endpoints.flatMap((endpoint, index) => {
    const path = (field: string) =>
      errorPath(candidate, "endpoints", `${index}.${field}`);
    if (endpoint.kind !== "service") {
      return endpoint.model === undefined
        ? [{
          path: path("model"),
          message: "An engine must name its model",
        }]
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
  return workspaces.flatMap((workspace, index) =>
    (workspace.models ?? []).flatMap((model, modelIndex) =>
      models.has(model) ? [] : [{
        path: errorPath(
          candidate,
          "workspaces",
          `${index}.models.${modelIndex}`,
        ),
        message: `No endpoint serves the model ${model}`,
      }]
    )
  );
}

function checkRoles(candidate: Candidate): ManifestError[] {
  const { roles, workspaces } = candidate.after;
  const workspaceIds = new Set(workspaces.map((workspace) => workspace.id));
  return roles.flatMap((role, index) =>
    role.workspaces.flatMap((workspace, workspaceIndex) =>
      workspaceIds.has(workspace) ? [] : [{
        path: errorPath(
          candidate,
          "roles",
          `${index}.workspaces.${workspaceIndex}`,
        ),
        message: `There is no workspace ${workspace}`,
      }]
    )
  );
}

function checkLiveReplicas(candidate: Candidate): ManifestError[] {
  if (candidate.manifest.allowModelWithoutReplica) return [];
  const remaining = new Set(liveTargets(candidate.after.endpoints));
  return [...new Set(liveTargets(candidate.before.endpoints))]
    .filter((target) => !remaining.has(target))
    .map((target) => ({
      path: errorPath(candidate, "endpoints", target),
      message:
        `This takes the last live replica (${target}) out of use; set allowModelWithoutReplica if that is meant`,
    }));
}

/** Lists what the live endpoints serve, as kind and model or service name. */
function liveTargets(endpoints: readonly Endpoint[]): string[] {
  return endpoints
    .filter((endpoint) => endpoint.state === "live")
    .map((endpoint) =>
      `${endpoint.kind} ${endpoint.model ?? endpoint.service}`
    );
}
