/** Input and output of a grant policy. */
import type { DecodeReplica } from "../decode_replica.ts";
import type { PrefillReplica } from "../prefill_replica.ts";
import type { SpeedEstimates } from "../speeds.ts";
import type { GrantRequest } from "../types.ts";

/** A home's local view of its shard, for one placement. */
export interface ShardView {
  readonly prefills: readonly PrefillReplica[];
  readonly decodes: readonly DecodeReplica[];
  readonly speeds: SpeedEstimates;
  /** Upper bound of the output length of the request to place: its `maxTokens`. */
  readonly expectedTokens: number;
  /** A placement must not raise the step time of a batch above this. */
  readonly betweenTokensTargetMs: number;
  /**
   * Weight of wasted prefills, from 0 to 1; larger values keep more memory free
   * for the growth of running answers.
   */
  readonly prefillWasteWeight: number;
  /**
   * Share of each decode replica's slots and memory to leave free, from 0 to 1:
   * by late requests, and by all requests while a new home warms up.
   */
  readonly reservedShare: number;
  /** The monotonic clock's time. */
  readonly nowMs: number;
  /** Uniform random numbers from 0 to below 1. */
  readonly random: () => number;
}

/** The replicas chosen for a request, with the expected timing. */
export interface Placement {
  readonly prefill: PrefillReplica;
  readonly decode: DecodeReplica;
  /** Prompt tokens that the prefill replica probably has cached. */
  readonly cachedTokens: number;
  /** Expected time from now until the first token. */
  readonly firstTokenMs: number;
  /** Whether its transfer would make another one late that would otherwise be in time. */
  readonly delaysOthers: boolean;
}

/** Chooses replicas for a request; null if none is suitable now. */
export type PlaceRequest = (
  view: ShardView,
  request: GrantRequest,
) => Placement | null;

/** Decides which replicas a request is granted, and whether requests may queue. */
export interface GrantPolicy {
  readonly name: string;
  readonly place: PlaceRequest;
  /** Whether any request could be placed now, regardless of its size; defaults to true. */
  readonly isReady?: (view: ShardView) => boolean;
  /**
   * Whether requests queue at the home and are shed there; otherwise each is
   * granted or refused at once.
   */
  readonly queuesRequests: boolean;
}
