/** `teaselvalve calls show` */
import type { CallStatus } from "@teaselvalve/daemon";
import { command, positional, string, subcommands } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printFields } from "../common/output.ts";

const show = command({
  name: "show",
  description: "Shows the status of a call that must not be repeated",
  args: {
    ...connectionArgs,
    ...outputArgs,
    key: positional({
      type: string,
      displayName: "workspace/request",
      description: "The workspace and the call's Idempotency-Key",
    }),
  },
  examples: [{
    description: "Whether filing-1 of the workspace lenders has run",
    command:
      "teaselvalve calls show lenders/filing-1 --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const key = encodeURIComponent(args.key);
    const call = await queryAdmin<CallStatus>(args, `/admin/calls/${key}`);
    printFields({ ...call }, args);
  },
});

/** The commands for calls to plain services. */
export const calls = subcommands({
  name: "calls",
  description: "Calls to plain services that must not be repeated",
  cmds: { show },
});
