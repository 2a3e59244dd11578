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
  /** What the home, the VM that rendezvous hashing picks for the request's key, tells requests apart by: caller, request id and body. */
  readonly identity: string;
  /** True if the VM was frozen when the request arrived; it then processed this connection later. */
  vmWasFrozen: boolean;
}

/** Requests and connections of one run, and what the checks note about its faults. */
export interface SummariesState {
  readonly requested: RequestedSummary[];
  readonly attachments: SummaryAttachment[];
  /** Since when no fault has prevented cleanup; Infinity while one does. */
  healthySinceMs: number;
  /** True once a network path was cut in this run. */
  everCut: boolean;
}
