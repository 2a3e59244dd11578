/** `teaselvalve endpoints` */
import type { EndpointStatus } from "@teaselvalve/daemon";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printRows } from "../common/output.ts";

/** Lists the endpoints with their reported load. */
export const endpoints = command({
  name: "endpoints",
  description: "Lists the endpoints with the load that they report",
  args: { ...connectionArgs, ...outputArgs },
  examples: [{
    description: "The engines and plain services of the deployment",
    command:
      "teaselvalve endpoints --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const endpointStatuses = await queryAdmin<EndpointStatus[]>(
      args,
      "/admin/endpoints",
    );
    printRows(endpointStatuses, {
      json: args.json,
      columns: [
        { title: "ENDPOINT", value: (endpoint) => endpoint.id },
        { title: "KIND", value: (endpoint) => endpoint.kind },
        { title: "SERVES", value: (endpoint) => endpoint.serves },
        {
          title: "STATE",
          value: (endpoint) => endpoint.load?.state ?? endpoint.state,
        },
        { title: "DATA CENTRE", value: (endpoint) => endpoint.dataCentre },
        { title: "SLOTS", value: formatSlots },
        { title: "KV BLOCKS", value: formatKvBlocks },
        {
          title: "QUEUED TOKENS",
          value: (endpoint) => endpoint.load?.queuedTokens ?? "-",
        },
        { title: "AGE MS", value: (endpoint) => endpoint.load?.ageMs ?? "-" },
      ],
    });
  },
});

function formatSlots({ load }: EndpointStatus): string {
  return load ? `${load.usedSlots}/${load.slots}` : "-";
}

function formatKvBlocks({ load }: EndpointStatus): string {
  return load ? `${load.usedPieces}/${load.memoryPieces}` : "-";
}
