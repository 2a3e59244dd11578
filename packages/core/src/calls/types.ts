/** Calls to plain services, and the stored rows that keep them from running twice. */
import type {
  CallerId,
  Digest,
  Incarnation,
  RequestId,
  RequestKey,
  ServiceName,
  VmId,
  WorkspaceId,
} from "../common/ids.ts";
import type { Refusal, Verdict } from "../common/verdict.ts";
import type { ServiceAnswer } from "../ports/services.ts";

/** A call as received from a caller. */
export interface CallRequest {
  readonly workspace: WorkspaceId;
  readonly caller: CallerId;
  /** The caller's idempotency key; null if it sent none. */
  readonly request: RequestId | null;
  readonly service: ServiceName;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** When the caller stops waiting, in ms of `Date.now`. */
  readonly deadlineAtMs: number;
  /** When the caller created the key, if the key carries a time; in ms of `Date.now`. */
  readonly keyCreatedAtMs?: number;
}

/** A plain service's answer to a caller. */
export interface CallAnswer extends ServiceAnswer {
  /** True if the answer was stored by an earlier run. */
  readonly replayed: boolean;
}

/** The outcome of a call. */
export type CallVerdict = Verdict<CallAnswer>;

/** A call's outcome as one VM sends it to another. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly answer: ServiceAnswer;
    readonly replayed: boolean;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** Nothing was sent and nothing will be; the key can be claimed again. */
  | { readonly kind: "released" }
  /** The call was still in progress when the poll's timeout ended. */
  | { readonly kind: "pending" }
  /** The VM that was polled doesn't hold the claim. */
  | { readonly kind: "unknown" };

/** The VM that claimed a key. */
export interface Claim {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Unique to this claim, to recognise its writes. */
  readonly token: string;
  readonly claimedAtMs: number;
}

/** The state of a call, as stored in the table service. */
export type CallRowState =
  | { readonly kind: "claimed" }
  | {
    readonly kind: "done";
    /** The body is empty if `object` is set. */
    readonly answer: ServiceAnswer;
    /** Name of the object that stores a large body. */
    readonly object?: string;
  }
  | { readonly kind: "released" }
  | { readonly kind: "unknown" };

/** The stored row of one call. */
export interface CallRow {
  readonly key: RequestKey;
  readonly caller: CallerId;
  /** Digest of the whole call, so that the key can't be used for another call. */
  readonly bodyDigest: Digest;
  readonly attempt: number;
  /** When the row may be deleted, in ms of `Date.now`. */
  readonly expiresAtMs: number;
  /** The latest claim, also after it has ended. */
  readonly claim: Claim;
  /** Unique to the latest write, to recognise it after a lost reply. */
  readonly writeToken: string;
  readonly state: CallRowState;
}

/** A caller's connection that waits for a call. */
export interface CallerConnection {
  /** True once the caller has disconnected. */
  readonly isDisconnected: () => boolean;
}
