/** Peer methods of summaries. */
import { type App, createApp } from "../common/app.ts";
import type { EndpointRef, RunOwner } from "../ports/engines.ts";
import type { Incarnation, RequestKey, StreamId } from "../common/ids.ts";
import type { Registration } from "./types.ts";

/** A home's answer to a registration. */
export type RegisterAnswer =
  | { readonly kind: "new" }
  | { readonly kind: "exists"; readonly registration: Registration };

/** A run that load reports list under a key. */
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
  /** The run that the new owner has already, null where it starts one; absent where it takes what is handed over. */
  readonly stream?: StreamId | null;
}

/** Peer methods of summaries. */
export interface SummariesHandlers {
  /** Registers a key with its home, or shows who has it. `takeOver` replaces an older epoch. */
  "summaries/register": (
    params: { registration: Registration; takeOver: boolean },
  ) => RegisterAnswer;
  /** Shows what the home knows of a key. */
  "summaries/find": (
    params: { key: RequestKey },
  ) => { registration: Registration | null };
  /** Shows the run that a shard's load reports list under an engine's key. */
  "summaries/locate": (
    params: { engineKey: RequestKey },
  ) => { run: ListedRun | null };
  /** Asks an owner to close its caller's connection and to hand the run over. */
  "summaries/hand-over": (
    params: HandoverParams,
  ) => { registration: Registration | null };
  /** Cancels a summary that this VM owns, on an operator's order; its caller is refused. */
  "summaries/cancel": (params: { key: RequestKey }) => { known: boolean };
  /** Tells that the VM runs, and since which start. */
  "summaries/alive": (
    params: Record<never, never>,
  ) => { incarnation: Incarnation };
}

/** Lists the peer methods of summaries. */
export function createSummariesApp(
  handlers: SummariesHandlers,
): App<SummariesHandlers> {
  return createApp<SummariesHandlers>(handlers);
}
