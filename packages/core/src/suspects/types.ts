/** Requests that crash what runs them: suspicion, a run alone, conviction. */
import type { EndpointId, Id, Incarnation, VmId } from "../common/ids.ts";

/** Hash of a request's workspace and body; a resend under a new key has the same. */
export type SuspectHash = Id<"suspect-hash">;
/** One run of a request, as its owner names it. */
export type SuspectRunId = Id<"suspect-run">;

/** A run that its owner was allowed to start. */
export interface SuspectRun {
  readonly id: SuspectRunId;
  readonly hash: SuspectHash;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** True where nothing else may run on the same replicas. */
  readonly alone: boolean;
}

/** Whether a request may run. `clear` and `alone` runs must be ended. */
export type Admission =
  | { readonly kind: "clear"; readonly run: SuspectRun }
  | { readonly kind: "alone"; readonly run: SuspectRun }
  | { readonly kind: "busy"; readonly retryAfterMs: number }
  | { readonly kind: "convicted"; readonly retryAfterMs: number };

/** How a run ended. `released` proves nothing: it was cancelled, or never started. */
export type RunEnding =
  | { readonly kind: "finished" }
  | { readonly kind: "released" }
  | { readonly kind: "crashed"; readonly endpoint: EndpointId };

/** What VMs tell each other of a hash. */
export interface SuspectStatusUpdate {
  readonly hash: SuspectHash;
  readonly standing: "suspected" | "convicted" | "trusted";
  /** When it is forgotten, on the clock of `Date.now`. */
  readonly untilMs: number;
}

/** The row of a conviction. */
export interface QuarantineRow {
  readonly hash: SuspectHash;
  readonly untilMs: number;
}
