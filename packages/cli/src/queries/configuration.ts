/** `teaselvalve configuration` */
import type { Configuration } from "@teaselvalve/core";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printFields, printJson } from "../common/output.ts";

/** Shows the configuration in force on a VM. */
export const configuration = command({
  name: "configuration",
  description: "Shows the configuration in force on the asked VM",
  args: { ...connectionArgs, ...outputArgs },
  examples: [{
    description: "All that is in force, as JSON",
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
