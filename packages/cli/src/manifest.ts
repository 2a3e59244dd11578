/** The commands of manifests. */
import { subcommands } from "cmd-ts";
import { submitManifest } from "./commands/submit_manifest.ts";

/** `teaselvalve manifest ...` */
export const manifest = subcommands({
  name: "manifest",
  description: "Manifests: the deployment as its pipelines describe it",
  cmds: { submit: submitManifest },
});
