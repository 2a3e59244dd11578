/** Peer methods for request bodies suspected of crashing replicas. */
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
   * Asks a hash's home or second home whether a run may start; `known` is the
   * sender's suspicion of the hash, null if it has none.
   */
  "suspects/admit": (
    params: { run: SuspectRun; known: SuspectStatusUpdate | null },
  ) => Admission;
  /**
   * Registers runs that are still in progress with a VM that has become their
   * hash's home.
   */
  "suspects/resume": (params: { runs: readonly SuspectRun[] }) => null;
  /** Reports to a hash's home or second home how a run ended. */
  "suspects/end": (params: { run: SuspectRun; ending: RunEnding }) => null;
  /** Notifies another VM of status changes of hashes. */
  "suspects/spread": (params: { news: readonly SuspectStatusUpdate[] }) => null;
}

/** Creates the peer app with the methods above. */
export function createSuspectsApp(
  handlers: SuspectsHandlers,
): App<SuspectsHandlers> {
  return createApp<SuspectsHandlers>(handlers);
}
