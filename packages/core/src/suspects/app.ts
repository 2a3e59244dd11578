/** Peer methods of suspects. */
import { type App, createApp } from "../common/app.ts";
import type {
  Admission,
  RunEnding,
  SuspectRun,
  SuspectStatusUpdate,
} from "./types.ts";

/** Peer methods of suspects. */
export interface SuspectsHandlers {
  /** Asks a hash's home whether a run may start, and tells it what the asker knows. */
  "suspects/admit": (
    params: { run: SuspectRun; known: SuspectStatusUpdate | null },
  ) => Admission;
  /** Tells a hash's home of runs that go on, after it became home. */
  "suspects/resume": (params: { runs: readonly SuspectRun[] }) => null;
  /** Tells a hash's home how a run ended. */
  "suspects/end": (params: { run: SuspectRun; ending: RunEnding }) => null;
  /** Tells any VM what became known of some hashes. */
  "suspects/spread": (params: { news: readonly SuspectStatusUpdate[] }) => null;
}

/** Lists the peer methods of suspects. */
export function createSuspectsApp(
  handlers: SuspectsHandlers,
): App<SuspectsHandlers> {
  return createApp<SuspectsHandlers>(handlers);
}
