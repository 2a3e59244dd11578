/** Evidence on which requests crash the endpoints that run them. */
import type { Id } from "../../common/ids.ts";
import type { EndpointIncarnation } from "../types.ts";

/** Identifies a trait: a whole request, or a part of a prompt for one model. */
export type TraitId = Id<"request-trait">;

/** Something that requests have in common, and that may crash endpoints. */
export interface Trait {
  readonly id: TraitId;
  /** Position in the prompt; a whole request comes after all of its parts. */
  readonly position: number;
  /** The parts of a whole request; empty for a part. */
  readonly parts: readonly TraitId[];
}

/** Position of the trait that stands for a whole request. */
export const WHOLE_REQUEST_POSITION = 1_000;

/** A crash of one endpoint. All lists only grow, so that reports can be merged in any order. */
export interface CrashRecord {
  readonly endpoint: EndpointIncarnation;
  /** When the first connection was lost, on the monotonic clock of this VM. */
  readonly atMs: number;
  /** Traits of the requests that the endpoint may have begun to answer just before. */
  readonly traits: ReadonlyMap<TraitId, number>;
  /** The parts of the whole requests among them, as far as they are known. */
  readonly partsOf: ReadonlyMap<TraitId, readonly TraitId[]>;
  /** Traits of requests that were answered after the crash. */
  readonly cleared: ReadonlySet<TraitId>;
  /** Traits of requests that had been answered not long before the crash, or began to be. */
  readonly trusted: ReadonlySet<TraitId>;
  /** True if the endpoint answered afterwards, so that it did not crash. */
  readonly refuted: boolean;
}

/** A crash record as VMs send it to each other. */
export interface CrashReport {
  readonly endpoint: EndpointIncarnation;
  readonly ageMs: number;
  /** Id and position; for whole requests also their parts, which older VMs leave out. */
  readonly traits: readonly (readonly [
    id: TraitId,
    position: number,
    parts?: readonly TraitId[],
  ])[];
  readonly cleared: readonly TraitId[];
  readonly trusted: readonly TraitId[];
  readonly refuted: boolean;
}
