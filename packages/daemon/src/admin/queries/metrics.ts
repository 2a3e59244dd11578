/** The query of the VM's metrics as JSON; `/metrics` has the text form. */
import { ok } from "neverthrow";
import type { MetricObjectWithValues, MetricValue } from "prom-client";
import type { AdminContext, AdminRoutes } from "../types.ts";

/** One metric with its values. */
export type MetricStatus = MetricObjectWithValues<MetricValue<string>>;

/** Bodies that these queries answer. */
export interface MetricsQueries {
  "GET /admin/metrics": readonly MetricStatus[];
}

/** Lists these queries. */
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
