/** Peer methods that exchange configuration versions between VMs. */
import { type App, createApp } from "../common/app.ts";
import type { VmId } from "../common/ids.ts";
import type { Configuration, ConfigurationChange } from "./types.ts";

/** A VM that holds a configuration version, with the address to fetch it from. */
export interface VersionHolder {
  readonly id: VmId;
  readonly peerAddress: string;
}

/** Answer to a fetch; the cursor is the version that the requesting VM holds. */
export type FetchAnswer =
  /** The answering VM holds nothing newer than the cursor. */
  | { readonly kind: "current"; readonly version: number }
  | {
    readonly kind: "changes";
    readonly changes: readonly ConfigurationChange[];
    /** Whether more changes follow; the next cursor is the last change's version. */
    readonly more: boolean;
  }
  | { readonly kind: "snapshot"; readonly configuration: Configuration };

/** Signatures of the peer methods. */
export interface ConfigurationHandlers {
  /** Returns the changes after version `after`, or a snapshot; 0 requests a snapshot. */
  "configuration/fetch": (params: { after: number }) => FetchAnswer;
  /** Announces a version; the receiver fetches it from the holder if it is newer. */
  "configuration/notice": (
    params: { version: number; holder: VersionHolder },
  ) => { version: number };
  /** Requests that the VM fetch a version; returns the version that it then holds. */
  "configuration/hold": (
    params: { version: number; holder: VersionHolder },
  ) => Promise<{ version: number }>;
}

/** Functions that the handlers call. */
export interface ConfigurationAppOptions {
  answerFetch: (after: number) => FetchAnswer;
  version: () => number;
  handleNotice: (version: number, from: VersionHolder) => void;
  holdVersion: (version: number, from: VersionHolder) => Promise<number>;
}

/** Creates the handlers of the peer methods. */
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
