/** What the summaries domain knows of a run. */
import type { CallerSummary } from "../../world/caller.ts";

/** Gives the summaries of a run. */
export const SUMMARIES = "summaries";

/** A summary that a caller wants. */
export interface WantedSummary {
  readonly request: string;
  readonly caller: string;
  readonly prompt: string;
  readonly poison: boolean;
}

/** One connection that asked for a summary. */
export interface SummaryAttachment {
  readonly summary: CallerSummary;
  readonly wanted: WantedSummary;
  /** Tells apart what the home keeps apart: caller, request and body. */
  readonly identity: string;
  /** The VM was frozen when the request reached it, so that it heard of this connection later. */
  askedFrozen: boolean;
}

/** What the summaries domain knows of a run. */
export interface SummariesPart {
  readonly wanted: WantedSummary[];
  readonly attachments: SummaryAttachment[];
  /** Since when nothing hindered a clean-up; Infinity while something does. */
  calmSinceMs: number;
  /** True once a path was cut in this run. */
  everCut: boolean;
}
