/** `teaselvalve metrics` */
import type { MetricStatus } from "@teaselvalve/daemon";
import { command, flag } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printRows } from "../common/output.ts";

const OWN_PREFIX = "teaselvalve_";

/** Shows the metrics of a VM. */
export const metrics = command({
  name: "metrics",
  description: "Shows the counters and gauges of the asked VM",
  args: {
    ...connectionArgs,
    ...outputArgs,
    all: flag({
      long: "all",
      description: "Includes the runtime's own metrics",
    }),
  },
  examples: [{
    description: "Refusals and retries by reason",
    command: "teaselvalve metrics --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const found = await queryAdmin<MetricStatus[]>(args, "/admin/metrics");
    const shown = args.all
      ? found
      : found.filter((metric) => metric.name.startsWith(OWN_PREFIX));
    const rows = shown.flatMap((metric) =>
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
