/** `teaselvalve summaries cancel` */
import type { CancelOutcome } from "@teaselvalve/daemon";
import { command, positional, string } from "cmd-ts";
import { connectionArgs, sendAdminCommand } from "../common/client.ts";
import { outputArgs, printJson, printLine } from "../common/output.ts";

/** Cancels a running summary through any VM. */
export const cancelSummary = command({
  name: "cancel",
  description: "Cancels a running summary and notifies its caller",
  args: {
    ...connectionArgs,
    ...outputArgs,
    key: positional({
      type: string,
      displayName: "workspace/request",
      description:
        "The key that `summaries list` shows, or the key without the caller",
    }),
  },
  examples: [{
    description: "Cancels summary-1 of the workspace lenders",
    command:
      "teaselvalve summaries cancel lenders/summary-1 --vm 127.0.0.1:7010 --token-file admin-token",
  }],
  async handler(args) {
    const key = encodeURIComponent(args.key);
    const outcome = await sendAdminCommand<CancelOutcome>(
      args,
      `/admin/summaries/${key}/cancel`,
    );
    if (args.json) return printJson(outcome);
    printLine(`Cancelled ${outcome.key} at ${outcome.vm}`);
  },
});
