/** `teaselvalve vms` */
import { command } from "cmd-ts";
import { callAdmin, connectionArgs, printJson } from "../shared/client.ts";

/** Lists the VMs in view. */
export const vms = command({
  name: "vms",
  description: "Lists the VMs in view",
  args: connectionArgs,
  async handler(args) {
    printJson((await callAdmin(args, "/admin/vms")).body);
  },
});
