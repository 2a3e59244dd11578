/** `teaselvalve endpoints` */
import type { EndpointStatus } from "@teaselvalve/daemon";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printRows } from "../common/output.ts";

/** Lists the endpoints with their load. */
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
    const found = await queryAdmin<EndpointStatus[]>(args, "/admin/endpoints");
    printRows(found, {
      json: args.json,
      columns: [
        { title: "ENDPOINT", value: (one) => one.id },
        { title: "KIND", value: (one) => one.kind },
        { title: "SERVES", value: (one) => one.serves },
        { title: "STATE", value: (one) => one.load?.state ?? one.state },
        { title: "DATA CENTRE", value: (one) => one.dataCentre },
        { title: "SLOTS", value: showSlots },
        { title: "PIECES", value: showPieces },
        {
          title: "QUEUED TOKENS",
          value: (one) => one.load?.queuedTokens ?? "-",
        },
        { title: "AGE MS", value: (one) => one.load?.ageMs ?? "-" },
      ],
    });
  },
});

function showSlots({ load }: EndpointStatus): string {
  return load ? `${load.usedSlots}/${load.slots}` : "-";
}

function showPieces({ load }: EndpointStatus): string {
  return load ? `${load.usedPieces}/${load.memoryPieces}` : "-";
}
