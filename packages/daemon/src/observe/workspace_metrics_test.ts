import { Registry } from "prom-client";
import { expect, test } from "vitest";
import { WorkspaceMetrics } from "./workspace_metrics.ts";

// Guards against metrics that grow with the number of workspaces over the years.
test("At most 64 workspaces have labels of their own", async () => {
  const registry = new Registry();
  const metrics = new WorkspaceMetrics(registry);
  for (let round = 0; round < 2; round += 1) {
    for (let index = 0; index < 100; index += 1) {
      metrics.note({ workspace: `w-${index}`, priority: 0 }, { waitedMs: 5 });
    }
  }
  const { values } = await registry.getSingleMetric(
    "teaselvalve_workspace_requests_total",
  )!.get();
  expect(values).toHaveLength(65);
  const counts = new Map(
    values.map(({ labels, value }) => [labels.workspace, value]),
  );
  expect([counts.get("w-0"), counts.get("w-63"), counts.get("(other)")])
    .toEqual([2, 2, 72]);
});

test("A clock that seems to run backwards doesn't end a request's count", async () => {
  const registry = new Registry();
  new WorkspaceMetrics(registry).note({ priority: 2 }, {
    waitedMs: -1,
    reason: "no-capacity",
  });
  expect(await registry.metrics()).toContain(
    'teaselvalve_workspace_refused_total{workspace="(none)",priority="2",reason="no-capacity"} 1',
  );
});
