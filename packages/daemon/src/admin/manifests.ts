/** Routes of manifests: checking and submitting them, and reading what was accepted. */
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
  AdminAnswer,
  AdminContext,
  AdminPrincipal,
  AdminRoutes,
} from "./types.ts";

const DEFAULT_HISTORY_ENTRIES = 50;

/** Bodies that the commands of manifests answer. */
export interface ManifestCommands {
  "POST /admin/manifests": SubmissionOutcome;
}

/** Bodies that the queries of manifests answer. */
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

/** Lists the commands of manifests. */
export function createManifestCommands(
  { vm }: AdminContext,
): AdminRoutes<ManifestCommands> {
  return {
    "POST /admin/manifests": {
      least: "operator",
      async handle({ body, principal }) {
        const submitter = submitterOf(principal);
        const outcome = await vm.configuration.submit(body, submitter);
        return ok({ status: OUTCOME_STATUS[outcome.kind], body: outcome });
      },
    },
  };
}

/** Lists the queries of manifests. */
export function createManifestQueries(
  { vm }: AdminContext,
): AdminRoutes<ManifestQueries> {
  const { configuration } = vm;
  return {
    "POST /admin/manifests/check": {
      least: "reader",
      async handle({ body, principal }) {
        const found = await configuration.check(body, submitterOf(principal));
        return ok({ status: OUTCOME_STATUS[found.kind], body: found });
      },
    },
    "GET /admin/manifests/history": {
      least: "reader",
      async handle({ query }) {
        const limit = Number(query.get("limit") ?? DEFAULT_HISTORY_ENTRIES);
        if (!isVersion(limit)) return err(notRun("bad-request"));
        return answerOf(await configuration.history({ limit }));
      },
    },
    "GET /admin/manifests/in-force": {
      least: "reader",
      handle: async () => ok({ body: await configuration.activeVersions() }),
    },
    "GET /admin/manifests/diff": {
      least: "reader",
      async handle({ query }) {
        const from = Number(query.get("from"));
        const to = Number(query.get("to"));
        if (!isVersion(from) || !isVersion(to)) {
          return err(notRun("bad-request"));
        }
        return answerOf(await configuration.diff({ from, to }));
      },
    },
    "GET /admin/manifests/versions/:version": {
      least: "reader",
      async handle({ params, principal }) {
        const version = Number(params.version);
        if (!isVersion(version)) return err(notRun("bad-request"));
        const shown = await configuration.show(version);
        // Only an administrator sees whole hashes, as a manifest to go back to needs them.
        return answerOf(
          principal.role === "administrator"
            ? shown
            : shown.map((found) => found && shortenHashes(found)),
        );
      },
    },
  };
}

function submitterOf({ role, workspaces }: AdminPrincipal) {
  return role === "operator" ? { allowedWorkspaces: workspaces } : {};
}

function isVersion(value: number): boolean {
  return Number.isSafeInteger(value) && value > 0;
}

function answerOf<T>(
  result: Result<T | null, StoreFailure>,
): Verdict<AdminAnswer<T>> {
  if (result.isErr()) return err(notRun("store-unavailable"));
  return result.value === null
    ? err(notRun("not-found"))
    : ok({ body: result.value });
}
