/** Routes to check and submit manifests, and to read accepted versions. */
import {
  type ActiveVersion,
  type Configuration,
  type HistoryEntry,
  type ManifestCheck,
  notRun,
  type StoreFailure,
  type SubmissionOutcome,
  type Verdict,
  type VersionDifference,
} from "@teaselvalve/core";
import { err, ok, type Result } from "neverthrow";
import { shortenHashes } from "./queries/configuration.ts";
import type {
  AdminContext,
  AdminPrincipal,
  AdminResponse,
  AdminRoutes,
} from "./types.ts";

const DEFAULT_HISTORY_ENTRIES = 50;

/** Response bodies of the manifest commands. */
export interface ManifestCommands {
  "POST /admin/manifests": SubmissionOutcome;
}

/** Response bodies of the manifest queries. */
export interface ManifestQueries {
  "POST /admin/manifests/check": ManifestCheck;
  "GET /admin/manifests/history": readonly HistoryEntry[];
  "GET /admin/manifests/in-force": readonly ActiveVersion[];
  "GET /admin/manifests/diff": VersionDifference;
  "GET /admin/manifests/versions/:version": Configuration;
}

const OUTCOME_STATUS: Record<
  SubmissionOutcome["kind"] | ManifestCheck["kind"],
  number
> = {
  accepted: 200,
  valid: 200,
  conflict: 409,
  invalid: 422,
  pending: 202,
  unknown: 504,
  unavailable: 503,
};

/** Creates the manifest routes that change something. */
export function createManifestCommands(
  { vm }: AdminContext,
): AdminRoutes<ManifestCommands> {
  return {
    "POST /admin/manifests": {
      minimumRole: "operator",
      async handle({ body, principal }) {
        const submitter = submitterOf(principal);
        const outcome = await vm.configuration.submit(body, submitter);
        return ok({ status: OUTCOME_STATUS[outcome.kind], body: outcome });
      },
    },
  };
}

/** Creates the read-only manifest routes. */
export function createManifestQueries(
  { vm }: AdminContext,
): AdminRoutes<ManifestQueries> {
  const { configuration } = vm;
  return {
    "POST /admin/manifests/check": {
      minimumRole: "reader",
      async handle({ body, principal }) {
        const check = await configuration.check(body, submitterOf(principal));
        return ok({ status: OUTCOME_STATUS[check.kind], body: check });
      },
    },
    "GET /admin/manifests/history": {
      minimumRole: "reader",
      async handle({ query }) {
        const limit = Number(query.get("limit") ?? DEFAULT_HISTORY_ENTRIES);
        if (!isPositiveInteger(limit)) return err(notRun("bad-request"));
        return toResponse(await configuration.history({ limit }));
      },
    },
    "GET /admin/manifests/in-force": {
      minimumRole: "reader",
      handle: async () => ok({ body: await configuration.activeVersions() }),
    },
    "GET /admin/manifests/diff": {
      minimumRole: "reader",
      async handle({ query }) {
        const from = Number(query.get("from"));
        const to = Number(query.get("to"));
        if (!isPositiveInteger(from) || !isPositiveInteger(to)) {
          return err(notRun("bad-request"));
        }
        return toResponse(await configuration.diff({ from, to }));
      },
    },
    "GET /admin/manifests/versions/:version": {
      minimumRole: "reader",
      async handle({ params, principal }) {
        const version = Number(params.version);
        if (!isPositiveInteger(version)) return err(notRun("bad-request"));
        const stored = await configuration.show(version);
        // Administrators get the full hashes, since resubmitting an older manifest needs them.
        return toResponse(
          principal.role === "administrator"
            ? stored
            : stored.map((value) => value && shortenHashes(value)),
        );
      },
    },
  };
}

function submitterOf({ role, workspaces }: AdminPrincipal) {
  return role === "operator" ? { allowedWorkspaces: workspaces } : {};
}

function isPositiveInteger(value: number): boolean {
  return Number.isSafeInteger(value) && value > 0;
}

function toResponse<T>(
  result: Result<T | null, StoreFailure>,
): Verdict<AdminResponse<T>> {
  if (result.isErr()) return err(notRun("store-unavailable"));
  return result.value === null
    ? err(notRun("not-found"))
    : ok({ body: result.value });
}
