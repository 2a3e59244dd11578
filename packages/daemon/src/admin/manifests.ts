/** Routes of manifests: submitting and reading the configuration's history. */
import type { SubmissionOutcome } from "@teaselvalve/core";
import { ok } from "neverthrow";
import type { AdminContext, AdminRoutes } from "./types.ts";

/** Bodies that the commands of manifests answer. */
export interface ManifestCommands {
  "POST /admin/manifests": SubmissionOutcome;
}

const OUTCOME_STATUS: Record<SubmissionOutcome["kind"], number> = {
  accepted: 200,
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
      async handle({ body }) {
        const outcome = await vm.configuration.submit(body);
        return ok({ status: OUTCOME_STATUS[outcome.kind], body: outcome });
      },
    },
  };
}

/** Bodies that the queries of manifests answer. */
// deno-lint-ignore no-empty-interface
export interface ManifestQueries {}

/** Lists the queries of manifests. */
export function createManifestQueries(
  _context: AdminContext,
): AdminRoutes<ManifestQueries> {
  return {};
}
