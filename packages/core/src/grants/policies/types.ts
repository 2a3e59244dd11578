/** What a grant policy sees, and what it answers. */
import type { DecodeReplica } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { SpeedEstimates } from "../speeds.ts";
import type { GrantRequest } from "../types.ts";

/** The replicas of a shard as its home knows them. */
export interface ShardView {
  readonly prefills: readonly PrefillReplica[];
  readonly decodes: readonly DecodeReplica[];
  readonly speeds: SpeedEstimates;
  /** Expected output length of the request that is placed. */
  readonly expectedTokens: number;
  /** Time between tokens that no member may be pushed over. */
  readonly betweenTokensTargetMs: number;
  /** From 0 to 1: the larger, the more certain a slot must be. */
  readonly prefillWasteWeight: number;
  /** Share of each decode replica that is left free while reports are missing. */
  readonly reservedShare: number;
  readonly nowMs: number;
  readonly random: () => number;
}

/** Where a request goes. */
export interface Placement {
  readonly prefill: PrefillReplica;
  readonly decode: DecodeReplica;
  readonly cachedTokens: number;
  /** Expected time until the first token. */
  readonly firstTokenMs: number;
  /** Whether its transfer would make an earlier one late that is in time without it. */
  readonly delaysOthers: boolean;
}

/** Chooses replicas for a request; null when none will do now. */
export type PlaceRequest = (
  view: ShardView,
  request: GrantRequest,
) => Placement | null;

/** A way to give grants. */
export interface GrantPolicy {
  readonly name: string;
  readonly place: PlaceRequest;
  /** Whether any request could be placed now, whatever its size; true when left out. */
  readonly isReady?: (view: ShardView) => boolean;
  /** Whether requests wait at the home and are shed there; else each is placed or refused at once. */
  readonly queuesRequests: boolean;
}
