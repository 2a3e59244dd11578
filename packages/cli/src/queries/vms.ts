/** `teaselvalve vms` */
import type { Member } from "@teaselvalve/core";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printRows } from "../common/output.ts";

/** Lists the VMs in the local view of the queried VM. */
export const vms = command({
  name: "vms",
  description:
    "Lists the VMs in the local view of the queried VM, with their state",
  args: { ...connectionArgs, ...outputArgs },
  examples: [{
    description: "All VMs, in the local view of one of them",
    command: "teaselvalve vms --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const members = await queryAdmin<Member[]>(args, "/admin/vms");
    printRows(members, {
      json: args.json,
      columns: [
        { title: "VM", value: (member) => member.id },
        { title: "STATE", value: (member) => member.state },
        { title: "DATA CENTRE", value: (member) => member.dataCentre },
        { title: "REGION", value: (member) => member.region },
        { title: "CALLERS", value: (member) => member.callerAddress },
        { title: "PEERS", value: (member) => member.peerAddress },
      ],
    });
  },
});
