/** Peer methods of configuration. */
import { type App, createApp } from "../shared/app.ts";
import type { Configuration } from "./types.ts";

/** Peer methods of configuration. */
export interface ConfigurationHandlers {
  /** Answers the configuration in force when it is newer than `after`, else null. */
  "configuration/fetch": (
    params: { after: number },
  ) => { configuration: Configuration | null };
  /** Asks the VM to read up to a version; answers the version it then holds. */
  "configuration/hold": (
    params: { version: number },
  ) => Promise<{ version: number }>;
}

/** What the handlers need. */
export interface ConfigurationAppOptions {
  current: () => Configuration | null;
  readUpTo: (version: number) => Promise<number>;
}

/** Lists the peer methods of configuration. */
export function createConfigurationApp(
  options: ConfigurationAppOptions,
): App<ConfigurationHandlers> {
  return createApp<ConfigurationHandlers>({
    "configuration/fetch": ({ after }) => {
      const current = options.current();
      const newer = current !== null && current.head.version > after;
      return { configuration: newer ? current : null };
    },
    "configuration/hold": async ({ version }) => ({
      version: await options.readUpTo(version),
    }),
  });
}
