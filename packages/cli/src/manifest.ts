/** The manifest commands. */
import { subcommands } from "cmd-ts";
import { submitManifest } from "./commands/submit_manifest.ts";
import { checkManifest, diff, history, show } from "./queries/manifests.ts";

/** `teaselvalve manifest ...` */
export const manifest = subcommands({
  name: "manifest",
  description:
    "Checks, submits and shows manifests, which describe the deployment",
  cmds: { check: checkManifest, submit: submitManifest, history, show, diff },
});
