/** Command line program of the daemon, `teaselvalved`. */
import { handleSignals } from "./lifecycle/early_signals.ts";
import process from "node:process";
import { command, flag, option, run, string } from "cmd-ts";
import { createDaemon } from "./daemon.ts";
import { guardProcess } from "./lifecycle/guard.ts";
import { createLog } from "./observe/log.ts";
import {
  describeSettingsError,
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
      description: "Settings file in INI format",
    }),
    checkSettings: flag({
      long: "check-settings",
      description: "Check the settings and exit",
    }),
  },
  async handler(args) {
    const loaded = loadSettings(args.settings);
    if (loaded.isErr()) return exitWithErrors(loaded.error);
    const { settings } = loaded.value;
    if (args.checkSettings) {
      process.stdout.write("Settings are fine\n");
      return;
    }
    const log = createLog({ vm: settings.vm.id, level: settings.log.level });
    const daemon = createDaemon({ ...loaded.value, log });
    const end = guardProcess({ ...daemon, log, memoryMb: null });
    let ready = false;
    let signals = 0;
    const stop = (signal: NodeJS.Signals) => {
      signals += 1;
      if (signals > 1) return daemon.abortGracefulStop();
      const stopped = ready ? daemon.stopGracefully() : daemon.stop();
      void stopped.then(() => end.finish(signal));
    };
    handleSignals({
      stop,
      other: (signal) =>
        log({ event: "signal-ignored", level: "warn", signal }),
    });
    try {
      await daemon.start();
      ready = true;
    } catch (error) {
      end.fail("start-failed", error);
    }
    log({ event: "daemon-ready" });
  },
});

await run(program, process.argv.slice(2));

function exitWithErrors(errors: readonly SettingsError[]): void {
  for (const error of errors) {
    process.stderr.write(`${describeSettingsError(error)}\n`);
  }
  process.exitCode = EXIT_BAD_SETTINGS;
}
