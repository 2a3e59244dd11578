/** `teaselvalve metrics` */
import type { MetricStatus } from "@teaselvalve/daemon";
import { command, flag } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printRows } from "../common/output.ts";

const OWN_PREFIX = "teaselvalve_";

/** Shows the metrics of a VM as rows, one for each set of labels. */
export const metrics = command({
  name: "metrics",
  description: "Shows the counters and gauges of the queried VM",
  args: {
    ...connectionArgs,
    ...outputArgs,
    all: flag({
      long: "all",
      description: "Includes the metrics of the Node.js runtime",
    }),
  },
  examples: [{
    description: "Refusals and retries by reason",
    command: "teaselvalve metrics --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const allMetrics = await queryAdmin<MetricStatus[]>(args, "/admin/metrics");
    const selected = args.all
      ? allMetrics
      : allMetrics.filter((metric) => metric.name.startsWith(OWN_PREFIX));
    const rows = selected.flatMap((metric) =>
      metric.values.map(({ labels, value }) => ({
        metric: metric.name,
        labels: Object.values(labels).join(" "),
        value,
      }))
    );
    printRows(rows, {
      json: args.json,
      columns: [
        { title: "METRIC", value: (row) => row.metric },
        { title: "LABELS", value: (row) => row.labels },
        { title: "VALUE", value: (row) => row.value },
      ],
    });
  },
});
