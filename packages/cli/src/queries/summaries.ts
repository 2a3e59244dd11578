/** `teaselvalve summaries list` */
import type { SummaryStatus } from "@teaselvalve/daemon";
import { command } from "cmd-ts";
import { connectionArgs, queryAdmin } from "../common/client.ts";
import { outputArgs, printRows } from "../common/output.ts";

/** Lists the summaries that occupy memory in engines. */
export const listSummaries = command({
  name: "list",
  description: "Lists the summaries that occupy memory, as engines report them",
  args: { ...connectionArgs, ...outputArgs },
  examples: [{
    description: "The running summaries with their engines",
    command:
      "teaselvalve summaries list --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const runs = await queryAdmin<SummaryStatus[]>(args, "/admin/summaries");
    printRows(runs, {
      json: args.json,
      columns: [
        { title: "SUMMARY", value: (run) => run.key },
        { title: "ENDPOINT", value: (run) => run.endpoint },
        { title: "OWNER", value: (run) => run.owner },
        { title: "TOKENS", value: (run) => run.generatedTokens },
        { title: "KV BLOCKS", value: (run) => run.memoryPieces },
      ],
    });
  },
});
