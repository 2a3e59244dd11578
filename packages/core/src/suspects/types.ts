/**
 * Request bodies that crash the replicas that run them. A body in flight at a crash
 * becomes a suspect, a suspect runs isolated, and a replica's crash during an
 * isolated run quarantines the body.
 */
import type { EndpointId, Id, Incarnation, VmId } from "../common/ids.ts";

/** Hash of a request's workspace and body; a resend under a new key has the same hash. */
export type SuspectHash = Id<"suspect-hash">;
/** Identifies one run of a request; assigned by the VM that owns the run. */
export type SuspectRunId = Id<"suspect-run">;

/** A run of a request, suspected or not, and the VM that owns it. */
export interface SuspectRun {
  readonly id: SuspectRunId;
  readonly hash: SuspectHash;
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** True for an isolated run: nothing else may run on the same replicas. */
  readonly alone: boolean;
}

/**
 * Whether a run may start: normally (`clear`), isolated (`alone`), later
 * (`busy`), or not until its quarantine ends (`convicted`). The owner must report
 * the end of every `clear` and `alone` run.
 */
export type Admission =
  | { readonly kind: "clear"; readonly run: SuspectRun }
  | { readonly kind: "alone"; readonly run: SuspectRun }
  | { readonly kind: "busy"; readonly retryAfterMs: number }
  | { readonly kind: "convicted"; readonly retryAfterMs: number };

/**
 * How a run ended. `released` (cancelled or never started) proves nothing about
 * the body.
 */
export type RunEnding =
  | { readonly kind: "finished" }
  | { readonly kind: "released" }
  | { readonly kind: "crashed"; readonly endpoint: EndpointId };

/** A change in the status of a hash, as VMs send it to each other. */
export interface SuspectStatusUpdate {
  readonly hash: SuspectHash;
  readonly standing: "suspected" | "convicted" | "trusted";
  /** When the status expires, in ms of `Date.now`. */
  readonly untilMs: number;
}

/** The stored row of a quarantined body. */
export interface QuarantineRow {
  readonly hash: SuspectHash;
  /** When the quarantine ends, in ms of `Date.now`. */
  readonly untilMs: number;
}
