/** Peer methods for requests suspected of crashing replicas. */
import { type App, createApp } from "../common/app.ts";
import type {
  Admission,
  RunEnding,
  SuspectRun,
  SuspectStatusUpdate,
} from "./types.ts";

/** Handlers of the peer methods; each runs on the VM that received the message. */
export interface SuspectsHandlers {
  /**
   * Asks a hash's home whether a run may start; `known` is the sender's own
   * status of the hash.
   */
  "suspects/admit": (
    params: { run: SuspectRun; known: SuspectStatusUpdate | null },
  ) => Admission;
  /**
   * Registers runs that are still in progress with a VM that has become their
   * hash's home.
   */
  "suspects/resume": (params: { runs: readonly SuspectRun[] }) => null;
  /** Reports to a hash's home how a run ended. */
  "suspects/end": (params: { run: SuspectRun; ending: RunEnding }) => null;
  /** Broadcasts status changes of hashes to another VM. */
  "suspects/spread": (params: { news: readonly SuspectStatusUpdate[] }) => null;
}

/** Creates the peer app with the methods above. */
export function createSuspectsApp(
  handlers: SuspectsHandlers,
): App<SuspectsHandlers> {
  return createApp<SuspectsHandlers>(handlers);
}
