/** The daemon's program. */
import process from "node:process";
import { command, flag, option, run, string } from "cmd-ts";
import { createDaemon } from "./daemon.ts";
import { createLog } from "./observe/log.ts";
import {
  loadSecrets,
  loadSettings,
  type SettingsError,
} from "./settings/load.ts";

const EXIT_BAD_SETTINGS = 2;

const program = command({
  name: "teaselvalved",
  description: "Routes summaries and calls on one entry VM",
  args: {
    settings: option({
      long: "settings",
      type: string,
      description: "The settings file, in INI",
    }),
    checkSettings: flag({
      long: "check-settings",
      description: "Checks the settings and exits",
    }),
  },
  async handler(args) {
    const settings = loadSettings(args.settings);
    if (settings.isErr()) return exitWithErrors(settings.error);
    const secrets = loadSecrets(settings.value);
    if (secrets.isErr()) return exitWithErrors(secrets.error);
    if (args.checkSettings) {
      process.stdout.write("Settings are fine\n");
      return;
    }
    const log = createLog({
      vm: settings.value.vm.id,
      level: settings.value.log.level,
    });
    const daemon = createDaemon({
      settings: settings.value,
      secrets: secrets.value,
      log,
    });
    const stop = () => {
      void daemon.stop().then(() => process.exit(0));
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    await daemon.start();
    log({ event: "daemon-ready" });
  },
});

await run(program, process.argv.slice(2));

function exitWithErrors(errors: readonly SettingsError[]): void {
  for (const { section, key, message } of errors) {
    const place = [section && `[${section}]`, key].filter(Boolean).join(" ");
    process.stderr.write(`${place ? `${place}: ` : ""}${message}\n`);
  }
  process.exitCode = EXIT_BAD_SETTINGS;
}
