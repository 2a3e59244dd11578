/** Peer methods of summaries. */
import { type App, createApp } from "../shared/app.ts";
import type { Incarnation, RequestKey } from "../shared/ids.ts";
import type { Registration } from "./types.ts";

/** A home's answer to a registration. */
export type RegisterAnswer =
  | { readonly kind: "new" }
  | { readonly kind: "exists"; readonly registration: Registration };

/** Peer methods of summaries. */
export interface SummariesHandlers {
  /** Registers a key with its home, or shows who has it. `takeOver` replaces an older epoch. */
  "summaries/register": (
    params: { registration: Registration; takeOver: boolean },
  ) => RegisterAnswer;
  /** Asks an owner to close its caller's connection and to hand the run over. */
  "summaries/hand-over": (
    params: { key: RequestKey; epoch: number },
  ) => Promise<{ registration: Registration | null }>;
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
