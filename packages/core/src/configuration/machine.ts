/** State machine that decides when and from where a VM fetches a newer configuration. */
import { assign, setup } from "xstate";
import type { Configuration, ConfigurationChange } from "./types.ts";

/** A source that newer configurations can be fetched from. */
export type ConfigurationSource =
  | { readonly kind: "platform" }
  | {
    readonly kind: "peer";
    readonly id: string;
    readonly peerAddress: string;
  };

/** Context of {@link configurationMachine}. */
export interface ConfigurationContext {
  /** The active version; 0 if there is none. */
  readonly version: number;
  /** The highest version that any notice named. */
  readonly highestSeen: number;
  /** Sources of notices of newer versions, latest first. */
  readonly sources: readonly ConfigurationSource[];
  /** Sources of the fetches in progress. */
  readonly fetching: readonly ConfigurationSource[];
  readonly isNewer: IsNewer;
}

/** Whether an offered version may replace the active one. */
export type IsNewer = (offered: number, active: number) => boolean;

/** Events: a notice of a version, a fetched or committed configuration, a failed fetch. */
export type ConfigurationEvent =
  | {
    readonly type: "noticed";
    readonly version: number;
    readonly source: ConfigurationSource;
  }
  | {
    readonly type: "obtained";
    readonly configuration: Configuration;
    /** The changes since the version that was active when the fetch or the commit began; empty for a snapshot. */
    readonly changes: readonly ConfigurationChange[];
    /** Absent if this VM committed the configuration itself. */
    readonly source?: ConfigurationSource;
  }
  | { readonly type: "failed"; readonly source: ConfigurationSource };

/** Effects of the machine: fetch from a source, or activate a configuration. */
export type ConfigurationEffect =
  | {
    readonly type: "fetch";
    readonly params: { readonly source: ConfigurationSource };
  }
  | {
    readonly type: "activate";
    readonly params: {
      readonly configuration: Configuration;
      readonly changes: readonly ConfigurationChange[];
    };
  };

const MAX_SOURCES = 4;
const MAX_FETCHES = 2;

type ActivateParams = Extract<
  ConfigurationEffect,
  { type: "activate" }
>["params"];
type FetchParams = Extract<ConfigurationEffect, { type: "fetch" }>["params"];

/**
 * Tracks the active version, and decides what to fetch and what to activate. It never
 * activates a version that {@link IsNewer} rejects: by default, any that isn't higher.
 */
export const configurationMachine = setup({
  types: {
    context: {} as ConfigurationContext,
    events: {} as ConfigurationEvent,
    input: {} as { isNewer: IsNewer },
  },
  actions: {
    fetch: (_, _params: FetchParams) => {},
    activate: (_, _params: ActivateParams) => {},
    recordSource: assign(({ context, event }) => {
      if (event.type !== "noticed") return {};
      return {
        highestSeen: Math.max(context.highestSeen, event.version),
        sources: [event.source, ...without(context.sources, event.source)]
          .slice(0, MAX_SOURCES),
      };
    }),
    removeSource: assign(({ context, event }) =>
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
    recordVersion: assign(({ event }) =>
      event.type === "obtained"
        ? { version: event.configuration.head.version }
        : {}
    ),
  },
  guards: {
    noticedNewer: ({ context, event }) =>
      event.type === "noticed" &&
      context.isNewer(event.version, context.version),
    // Allows a second fetch in parallel to a slow first one, for example if the platform has just failed.
    canFetchInParallel: ({ context, event }) =>
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
      actions: ["endFetch", "recordVersion", {
        type: "activate",
        params: ({ event }) => ({
          configuration: event.configuration,
          changes: event.changes,
        }),
      }],
      target: ".deciding",
    }, { actions: "endFetch", target: ".deciding" }],
    failed: { actions: ["removeSource", "endFetch"], target: ".deciding" },
  },
  states: {
    idle: {
      on: {
        noticed: {
          guard: "noticedNewer",
          actions: ["recordSource", "startFetch", {
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
          guard: "canFetchInParallel",
          actions: ["recordSource", "startFetch", {
            type: "fetch",
            params: ({ context }) => ({ source: context.sources[0]! }),
          }],
        }, { guard: "noticedNewer", actions: "recordSource" }],
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
  return sources.filter((other) => sourceKey(other) !== sourceKey(source));
}

/** A key that identifies a source. */
export function sourceKey(source: ConfigurationSource): string {
  return source.kind === "platform" ? "platform" : `peer ${source.id}`;
}
