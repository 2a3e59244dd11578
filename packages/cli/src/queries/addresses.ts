/** `teaselvalve addresses` */
import type { AddressAnswer } from "@teaselvalve/core";
import { command, option, optional, string } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printJson, printRows } from "../common/output.ts";

/** Lists the VM addresses that callers receive. */
export const addresses = command({
  name: "addresses",
  description: "Lists the VM addresses that callers of a data centre receive",
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
    description: "The addresses that callers in espoo-b receive",
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
        { title: "VM", value: (entry) => entry.vm },
        { title: "ADDRESS", value: (entry) => entry.address },
        { title: "DATA CENTRE", value: (entry) => entry.dataCentre },
      ],
    });
  },
});
