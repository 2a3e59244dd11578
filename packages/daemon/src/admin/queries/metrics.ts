/** Query for the VM's metrics as JSON; `/metrics` serves the Prometheus text format. */
import { ok } from "neverthrow";
import type { MetricObjectWithValues, MetricValue } from "prom-client";
import type { AdminContext, AdminRoutes } from "../types.ts";

/** A metric and its values. */
export type MetricStatus = MetricObjectWithValues<MetricValue<string>>;

/** Response bodies of the metrics queries. */
export interface MetricsQueries {
  "GET /admin/metrics": readonly MetricStatus[];
}

/** Creates the metrics queries. */
export function createMetricsQueries(
  { metrics }: AdminContext,
): AdminRoutes<MetricsQueries> {
  return {
    "GET /admin/metrics": {
      minimumRole: "reader",
      handle: async () =>
        ok({ body: await metrics.registry.getMetricsAsJSON() }),
    },
  };
}
