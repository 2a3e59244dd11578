/** What the summaries domain knows of a run. */
import type { CallerSummary } from "../../world/caller.ts";

/** Gives the summaries of a run. */
export const SUMMARIES = "summaries";

/** A summary that a caller wants. */
export interface RequestedSummary {
  readonly request: string;
  readonly caller: string;
  readonly prompt: string;
  readonly poison: boolean;
}

/** One connection that asked for a summary. */
export interface SummaryAttachment {
  readonly summary: CallerSummary;
  readonly requested: RequestedSummary;
  /** Tells apart what the home keeps apart: caller, request and body. */
  readonly identity: string;
  /** The VM was frozen when the request reached it, so that it heard of this connection later. */
  vmWasFrozen: boolean;
}

/** What the summaries domain knows of a run. */
export interface SummariesState {
  readonly requested: RequestedSummary[];
  readonly attachments: SummaryAttachment[];
  /** Since when nothing hindered a clean-up; Infinity while something does. */
  healthySinceMs: number;
  /** True once a path was cut in this run. */
  everCut: boolean;
}
