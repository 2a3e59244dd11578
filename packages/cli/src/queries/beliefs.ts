/** `teaselvalve beliefs` */
import type { LocalRoutingView } from "@teaselvalve/core/routing";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import {
  outputArgs,
  printFields,
  printJson,
  printLine,
  printRows,
} from "../common/output.ts";

/** Shows the local view of a VM that routes by host and path, and its age. */
export const beliefs = command({
  name: "beliefs",
  description:
    "Shows the local view of a VM that routes by host and path, and its age",
  args: { ...connectionArgs, ...outputArgs },
  examples: [{
    description: "A VM, queried at the address of its metrics",
    command: "teaselvalve beliefs --vm 10.1.0.35:9464",
  }],
  async handler(args) {
    const view = await queryAdmin<LocalRoutingView>(args, "/admin/beliefs");
    if (args.json) return printJson(view);
    const { vm, routingTable, endpointsAgeMs, endpoints, vms } = view;
    printFields({
      vm,
      routingTable: `version ${routingTable.version}`,
      routingTableAgeMs: routingTable.ageMs,
      endpointsAgeMs,
    }, { json: false });
    printLine("");
    printRows(endpoints, {
      json: false,
      columns: [
        { title: "ENDPOINT", value: ({ id }) => id },
        { title: "SERVICE", value: ({ service }) => service },
        { title: "STAGE", value: ({ stage }) => stage ?? "-" },
        { title: "STATE", value: ({ state }) => state },
        { title: "EJECTED MS", value: ({ restsForMs }) => restsForMs },
        { title: "IN FLIGHT", value: ({ inFlight }) => inFlight },
        { title: "FAILURES", value: ({ failuresInRow }) => failuresInRow },
        { title: "LATENCY MS", value: ({ latencyMs }) => latencyMs ?? "-" },
        { title: "ADDRESS", value: ({ address }) => address },
      ],
    });
    printLine("");
    printRows(vms, {
      json: false,
      columns: [
        { title: "VM", value: ({ id }) => id },
        { title: "STATE", value: ({ state }) => state },
      ],
    });
  },
});
