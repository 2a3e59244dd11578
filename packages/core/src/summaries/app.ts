/** Peer methods of summaries. */
import { type App, createApp } from "../common/app.ts";
import type { EndpointRef, RunOwner } from "../ports/engines.ts";
import type { Incarnation, RequestKey, StreamId } from "../common/ids.ts";
import type { Registration } from "./types.ts";

/** A home's answer to a registration; `exists` returns the one that is kept. */
export type RegisterAnswer =
  | { readonly kind: "new" }
  | { readonly kind: "exists"; readonly registration: Registration };

/** A run that load reports list under an engine's key. */
export interface ListedRun {
  readonly stream: StreamId;
  readonly owner: RunOwner;
  readonly decode: EndpointRef;
}

/** Parameters of `summaries/hand-over`. */
export interface HandoverParams {
  readonly key: RequestKey;
  /** The new owner's epoch. */
  readonly epoch: number;
  /**
   * The run that the new owner already has; null when it starts a new one.
   * Absent when it takes over the run of the older owner.
   */
  readonly stream?: StreamId | null;
}

/** Handlers of the peer methods of summaries. */
export interface SummariesHandlers {
  /**
   * Registers a key with its home, or returns the existing registration.
   * `takeOver` replaces a registration with an older epoch.
   */
  "summaries/register": (
    params: { registration: Registration; takeOver: boolean },
  ) => RegisterAnswer;
  /** Returns the home's registration of a key. */
  "summaries/find": (
    params: { key: RequestKey },
  ) => { registration: Registration | null };
  /** Returns the run that a shard's load reports list under an engine's key. */
  "summaries/locate": (
    params: { engineKey: RequestKey },
  ) => { run: ListedRun | null };
  /**
   * Asks an owner to close its caller's connection and to hand over the run.
   */
  "summaries/hand-over": (
    params: HandoverParams,
  ) => { registration: Registration | null };
  /**
   * Cancels a summary that this VM owns, as requested by an operator. The
   * caller receives a refusal.
   */
  "summaries/cancel": (params: { key: RequestKey }) => { known: boolean };
  /** Shows that the VM is running, and returns its incarnation. */
  "summaries/alive": (
    params: Record<never, never>,
  ) => { incarnation: Incarnation };
}

/** Creates the app that serves the peer methods of summaries. */
export function createSummariesApp(
  handlers: SummariesHandlers,
): App<SummariesHandlers> {
  return createApp<SummariesHandlers>(handlers);
}
