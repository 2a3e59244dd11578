/** How a VM comes to hold a configuration: from whom it fetches, and never to a lower version. */
import { assign, setup } from "xstate";
import type { Configuration, ConfigurationChange } from "./types.ts";

/** Where a newer configuration can be fetched. */
export type ConfigurationSource =
  | { readonly kind: "platform" }
  | {
    readonly kind: "peer";
    readonly id: string;
    readonly peerAddress: string;
  };

/** What a VM knows of the configuration. */
export interface ConfigurationContext {
  /** The version in force; 0 when there is none. */
  readonly version: number;
  /** The highest version heard of. */
  readonly highestSeen: number;
  /** Where newer versions were heard of, the last heard first. */
  readonly sources: readonly ConfigurationSource[];
  /** Sources that are being asked. */
  readonly fetching: readonly ConfigurationSource[];
  readonly isNewer: IsNewer;
}

/** Whether an offered version may replace the one in force. */
export type IsNewer = (offered: number, inForce: number) => boolean;

/** What happens to a VM's configuration. */
export type ConfigurationEvent =
  | {
    readonly type: "noticed";
    readonly version: number;
    readonly source: ConfigurationSource;
  }
  | {
    readonly type: "obtained";
    readonly configuration: Configuration;
    /** The changes that led there; empty for a snapshot. */
    readonly changes: readonly ConfigurationChange[];
    /** Absent for what this VM accepted itself. */
    readonly source?: ConfigurationSource;
  }
  | { readonly type: "failed"; readonly source: ConfigurationSource };

/** The effects that the machine asks for. */
export type ConfigurationEffect =
  | {
    readonly type: "fetch";
    readonly params: { readonly source: ConfigurationSource };
  }
  | {
    readonly type: "putInForce";
    readonly params: {
      readonly configuration: Configuration;
      readonly changes: readonly ConfigurationChange[];
    };
  };

const MAX_SOURCES = 4;
const MAX_FETCHES = 2;

type ActivateParams = Extract<
  ConfigurationEffect,
  { type: "putInForce" }
>["params"];
type FetchParams = Extract<ConfigurationEffect, { type: "fetch" }>["params"];

/** Holds the version in force and decides what to fetch and what to put in force. */
export const configurationMachine = setup({
  types: {
    context: {} as ConfigurationContext,
    events: {} as ConfigurationEvent,
    input: {} as { isNewer: IsNewer },
  },
  actions: {
    fetch: (_, _params: FetchParams) => {},
    putInForce: (_, _params: ActivateParams) => {},
    rememberSource: assign(({ context, event }) => {
      if (event.type !== "noticed") return {};
      return {
        highestSeen: Math.max(context.highestSeen, event.version),
        sources: [event.source, ...without(context.sources, event.source)]
          .slice(0, MAX_SOURCES),
      };
    }),
    forgetSource: assign(({ context, event }) =>
      event.type === "failed"
        ? { sources: without(context.sources, event.source) }
        : {}
    ),
    startFetch: assign(({ context }) => ({
      fetching: [...context.fetching, context.sources[0]!],
    })),
    endFetch: assign(({ context, event }) =>
      event.type !== "noticed" && event.source
        ? { fetching: without(context.fetching, event.source) }
        : {}
    ),
    rememberVersion: assign(({ event }) =>
      event.type === "obtained"
        ? { version: event.configuration.head.version }
        : {}
    ),
  },
  guards: {
    noticedNewer: ({ context, event }) =>
      event.type === "noticed" &&
      context.isNewer(event.version, context.version),
    // A second source is tried beside a slow first one, for instance a platform that has just gone down.
    noticedElsewhere: ({ context, event }) =>
      event.type === "noticed" &&
      context.isNewer(event.version, context.version) &&
      context.fetching.length < MAX_FETCHES &&
      without(context.fetching, event.source).length ===
        context.fetching.length,
    obtainedNewer: ({ context, event }) =>
      event.type === "obtained" &&
      context.isNewer(event.configuration.head.version, context.version),
    isFetching: ({ context }) => context.fetching.length > 0,
    isBehind: ({ context }) =>
      context.highestSeen > context.version && context.sources.length > 0,
  },
}).createMachine({
  context: ({ input }) => ({
    version: 0,
    highestSeen: 0,
    sources: [],
    fetching: [],
    isNewer: input.isNewer,
  }),
  initial: "idle",
  on: {
    obtained: [{
      guard: "obtainedNewer",
      actions: ["endFetch", "rememberVersion", {
        type: "putInForce",
        params: ({ event }) => ({
          configuration: event.configuration,
          changes: event.changes,
        }),
      }],
      target: ".deciding",
    }, { actions: "endFetch", target: ".deciding" }],
    failed: { actions: ["forgetSource", "endFetch"], target: ".deciding" },
  },
  states: {
    idle: {
      on: {
        noticed: {
          guard: "noticedNewer",
          actions: ["rememberSource", "startFetch", {
            type: "fetch",
            params: ({ context }) => ({ source: context.sources[0]! }),
          }],
          target: "fetching",
        },
      },
    },
    fetching: {
      on: {
        noticed: [{
          guard: "noticedElsewhere",
          actions: ["rememberSource", "startFetch", {
            type: "fetch",
            params: ({ context }) => ({ source: context.sources[0]! }),
          }],
        }, { guard: "noticedNewer", actions: "rememberSource" }],
      },
    },
    deciding: {
      always: [
        { guard: "isFetching", target: "fetching" },
        {
          guard: "isBehind",
          actions: ["startFetch", {
            type: "fetch",
            params: ({ context }) => ({ source: context.sources[0]! }),
          }],
          target: "fetching",
        },
        { target: "idle" },
      ],
    },
  },
});

function without(
  sources: readonly ConfigurationSource[],
  source: ConfigurationSource,
): ConfigurationSource[] {
  return sources.filter((one) => sourceKey(one) !== sourceKey(source));
}

/** Names a source, to tell it from others. */
export function sourceKey(source: ConfigurationSource): string {
  return source.kind === "platform" ? "platform" : `peer ${source.id}`;
}
