/** State of the summaries domain in one run. */
import type { CallerSummary } from "../../world/caller.ts";

/** Name of the summaries domain. */
export const SUMMARIES = "summaries";

/** A summary request as its caller sends it, perhaps over several connections. */
export interface RequestedSummary {
  readonly request: string;
  readonly caller: string;
  readonly prompt: string;
  /** Whether the prompt crashes the decode replica that runs it. */
  readonly poison: boolean;
}

/** One connection that requested a summary. */
export interface SummaryAttachment {
  readonly summary: CallerSummary;
  readonly requested: RequestedSummary;
  /** Caller, request id and body. By these the home of the request's key (the VM that rendezvous hashing picks for it) distinguishes requests. */
  readonly identity: string;
  /** True if the VM was frozen when the request arrived; it then processed this connection later. */
  vmWasFrozen: boolean;
}

/** Requests and connections of one run, and what the checks record about its faults. */
export interface SummariesState {
  readonly requested: RequestedSummary[];
  readonly attachments: SummaryAttachment[];
  /** Since when no fault has prevented cleanup; Infinity while one does. */
  healthySinceMs: number;
  /** True once a network path was cut in this run. */
  everCut: boolean;
}
