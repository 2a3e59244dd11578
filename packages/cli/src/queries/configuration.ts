/** `teaselvalve configuration` */
import type { Configuration } from "@teaselvalve/core";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printFields, printJson } from "../common/output.ts";

/** Shows a summary of the active configuration, or all of it as JSON. */
export const configuration = command({
  name: "configuration",
  description:
    "Summarises the active configuration of the queried VM; --json prints it all",
  args: { ...connectionArgs, ...outputArgs },
  examples: [{
    description: "The whole active configuration, as JSON",
    command:
      "teaselvalve configuration --json --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const { head, bodies } = await queryAdmin<Configuration>(
      args,
      "/admin/configuration",
    );
    if (args.json) return printJson({ head, bodies });
    printFields({
      version: head.version,
      deployment: bodies.deployment?.name,
      workspaces: bodies.workspaces.length,
      endpoints: bodies.endpoints.length,
      roles: bodies.roles.length,
    }, { json: false });
  },
});
