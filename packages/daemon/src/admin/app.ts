/** Lists every route of the administration interface by name. */
import { createManifestCommands, createManifestQueries } from "./manifests.ts";
import { createSummaryCommands } from "./commands/summaries.ts";
import { createCallQueries } from "./queries/calls.ts";
import { createConfigurationQueries } from "./queries/configuration.ts";
import { createDirectoryQueries } from "./queries/directory.ts";
import { createEndpointQueries } from "./queries/endpoints.ts";
import { createMetricsQueries } from "./queries/metrics.ts";
import { createSummaryQueries } from "./queries/summaries.ts";
import type { AdminContext, AdminRoute } from "./types.ts";

/** Routes that read. */
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

/** Routes that change something. */
export function createAdminCommands(context: AdminContext) {
  return {
    ...createSummaryCommands(context),
    ...createManifestCommands(context),
  };
}

/** All routes by method and path. */
export function listAdminRoutes(
  context: AdminContext,
): ReadonlyMap<string, AdminRoute> {
  return new Map<string, AdminRoute>([
    ...Object.entries(createAdminQueries(context)),
    ...Object.entries(createAdminCommands(context)),
  ]);
}
