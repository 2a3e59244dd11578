/** The operators' command-line tool. */
import process from "node:process";
import { run, subcommands } from "cmd-ts";
import { submitManifest } from "./commands/submit_manifest.ts";
import { vms } from "./queries/vms.ts";

const manifest = subcommands({
  name: "manifest",
  cmds: { submit: submitManifest },
});

const program = subcommands({
  name: "teaselvalve",
  cmds: { manifest, vms },
});

await run(program, process.argv.slice(2));
