/** Peer methods of configuration. */
import { type App, createApp } from "../common/app.ts";
import type { VmId } from "../common/ids.ts";
import type { Configuration, ConfigurationChange } from "./types.ts";

/** A peer that holds a version. */
export interface VersionHolder {
  readonly id: VmId;
  readonly peerAddress: string;
}

/** What a VM answers to a cursor. */
export type FetchAnswer =
  /** Holds nothing newer than the cursor. */
  | { readonly kind: "current"; readonly version: number }
  | {
    readonly kind: "changes";
    readonly changes: readonly ConfigurationChange[];
    /** Whether to ask again with the version of the last change. */
    readonly more: boolean;
  }
  | { readonly kind: "snapshot"; readonly configuration: Configuration };

/** Peer methods of configuration. */
export interface ConfigurationHandlers {
  /** Answers what follows the version that the asker holds; 0 asks for a snapshot. */
  "configuration/fetch": (params: { after: number }) => FetchAnswer;
  /** Tells of a newer version; the told VM fetches it from the teller. */
  "configuration/notice": (
    params: { version: number; holder: VersionHolder },
  ) => { version: number };
  /** Asks the VM to hold a version; answers the version that it then holds. */
  "configuration/hold": (
    params: { version: number; holder: VersionHolder },
  ) => Promise<{ version: number }>;
}

/** What the handlers need. */
export interface ConfigurationAppOptions {
  answerFetch: (after: number) => FetchAnswer;
  version: () => number;
  handleNotice: (version: number, from: VersionHolder) => void;
  holdVersion: (version: number, from: VersionHolder) => Promise<number>;
}

/** Lists the peer methods of configuration. */
export function createConfigurationApp(
  options: ConfigurationAppOptions,
): App<ConfigurationHandlers> {
  return createApp<ConfigurationHandlers>({
    "configuration/fetch": ({ after }) => options.answerFetch(after),
    "configuration/notice": ({ version, holder }) => {
      options.handleNotice(version, holder);
      return { version: options.version() };
    },
    "configuration/hold": async ({ version, holder }) => ({
      version: await options.holdVersion(version, holder),
    }),
  });
}
