/** Calls to plain services and the rows that keep them from running twice. */
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

/** A call as it comes from a caller. */
export interface CallRequest {
  readonly workspace: WorkspaceId;
  readonly caller: CallerId;
  /** Absent when the caller named none. */
  readonly request: RequestId | null;
  readonly service: ServiceName;
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** When the caller stops waiting, on the clock of `Date.now`. */
  readonly deadlineAtMs: number;
  /** When the caller made the key, where the key says so. */
  readonly keyTimeMs?: number;
}

/** A plain service's answer to a caller. */
export interface CallAnswer extends ServiceAnswer {
  /** True where the answer was kept from an earlier run. */
  readonly replayed: boolean;
}

/** The outcome of a call. */
export type CallVerdict = Verdict<CallAnswer>;

/** A call's outcome as one VM tells it to another. */
export type CallOutcome =
  | {
    readonly kind: "answered";
    readonly answer: ServiceAnswer;
    readonly replayed: boolean;
  }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** Nothing was sent and nothing will be; the key can be claimed again. */
  | { readonly kind: "released" }
  /** Still under way when the time of the question was over. */
  | { readonly kind: "pending" }
  /** The VM that was asked doesn't hold the claim. */
  | { readonly kind: "unknown" };

/** Who claimed a key. */
export interface Claim {
  readonly vm: VmId;
  readonly incarnation: Incarnation;
  /** Tells one claim's writes from all others. */
  readonly token: string;
  readonly claimedAtMs: number;
}

/** Where a call stands, as kept in the table service. */
export type CallRowState =
  | { readonly kind: "claimed" }
  | {
    readonly kind: "done";
    /** Its body is empty where `object` names one. */
    readonly answer: ServiceAnswer;
    /** The object that keeps a large body. */
    readonly object?: string;
  }
  | { readonly kind: "released" }
  | { readonly kind: "unknown" };

/** The row of one call. */
export interface CallRow {
  readonly key: RequestKey;
  readonly caller: CallerId;
  /** Of all that the call consists of, so that the key can't be used for another. */
  readonly bodyDigest: Digest;
  readonly attempt: number;
  readonly expiresAtMs: number;
  /** The last claim, also after it has ended. */
  readonly claim: Claim;
  /** Tells the last write from all others. */
  readonly writeToken: string;
  readonly state: CallRowState;
}

/** A caller's connection that waits for a call. */
export interface CallWaiter {
  /** True once the caller is gone. */
  readonly isDisconnected: () => boolean;
}
