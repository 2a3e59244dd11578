/** Collects all routes of the administration interface. */
import { createManifestCommands, createManifestQueries } from "./manifests.ts";
import { createSummaryCommands } from "./commands/summaries.ts";
import { createCallQueries } from "./queries/calls.ts";
import { createConfigurationQueries } from "./queries/configuration.ts";
import { createDirectoryQueries } from "./queries/directory.ts";
import { createEndpointQueries } from "./queries/endpoints.ts";
import { createMetricsQueries } from "./queries/metrics.ts";
import { createSummaryQueries } from "./queries/summaries.ts";
import type { AdminContext, AdminRoute } from "./types.ts";

/** Creates the read-only routes. */
export function createAdminQueries(context: AdminContext) {
  return {
    ...createDirectoryQueries(context),
    ...createEndpointQueries(context),
    ...createCallQueries(context),
    ...createSummaryQueries(context),
    ...createConfigurationQueries(context),
    ...createMetricsQueries(context),
    ...createManifestQueries(context),
  };
}

/** Creates the routes that change something. */
export function createAdminCommands(context: AdminContext) {
  return {
    ...createSummaryCommands(context),
    ...createManifestCommands(context),
  };
}

/** Returns all routes, keyed by method and path. */
export function listAdminRoutes(
  context: AdminContext,
): ReadonlyMap<string, AdminRoute> {
  return new Map<string, AdminRoute>([
    ...Object.entries(createAdminQueries(context)),
    ...Object.entries(createAdminCommands(context)),
  ]);
}
