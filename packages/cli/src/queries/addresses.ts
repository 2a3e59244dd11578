/** `teaselvalve addresses` */
import type { AddressAnswer } from "@teaselvalve/core";
import { command, option, optional, string } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printJson, printRows } from "../common/output.ts";

/** Lists the addresses that callers are told. */
export const addresses = command({
  name: "addresses",
  description: "Lists the VMs that callers of a data centre are told to use",
  args: {
    ...connectionArgs,
    ...outputArgs,
    dataCentre: option({
      long: "data-centre",
      type: optional(string),
      description: "The callers' data centre",
    }),
  },
  examples: [{
    description: "What callers in espoo-b are told",
    command:
      "teaselvalve addresses --data-centre espoo-b --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const query = new URLSearchParams(
      args.dataCentre ? { data_centre: args.dataCentre } : {},
    );
    const answer = await queryAdmin<AddressAnswer>(
      args,
      `/admin/addresses?${query}`,
    );
    if (args.json) return printJson(answer);
    printRows(answer.addresses, {
      json: false,
      columns: [
        { title: "VM", value: (one) => one.vm },
        { title: "ADDRESS", value: (one) => one.address },
        { title: "DATA CENTRE", value: (one) => one.dataCentre },
      ],
    });
  },
});
