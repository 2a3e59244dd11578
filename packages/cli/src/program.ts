/** The command tree of the tool. */
import { type runSafely, subcommands } from "cmd-ts";
import { cancelSummary } from "./commands/cancel_summary.ts";
import { manifest } from "./manifest.ts";
import { addresses } from "./queries/addresses.ts";
import { beliefs } from "./queries/beliefs.ts";
import { calls } from "./queries/calls.ts";
import { configuration } from "./queries/configuration.ts";
import { endpoints } from "./queries/endpoints.ts";
import { metrics } from "./queries/metrics.ts";
import { explain } from "./queries/explain.ts";
import { listSummaries } from "./queries/summaries.ts";
import { vms } from "./queries/vms.ts";

const summaries = subcommands({
  name: "summaries",
  description: "Running summaries",
  cmds: { list: listSummaries, cancel: cancelSummary },
});

/** The root command, which `main.ts` runs. */
export const program: Parameters<typeof runSafely>[0] = subcommands({
  name: "teaselvalve",
  description: "Operates a teaselvalve deployment through any of its VMs",
  cmds: {
    manifest,
    vms,
    endpoints,
    calls,
    summaries,
    addresses,
    configuration,
    metrics,
    beliefs,
    explain,
  },
});
