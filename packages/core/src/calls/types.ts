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
} from "../shared/ids.ts";
import type { Refusal, Verdict } from "../shared/verdict.ts";
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
  | { readonly kind: "answered"; readonly answer: ServiceAnswer }
  | { readonly kind: "refused"; readonly refusal: Refusal }
  | { readonly kind: "unknown" };

/** Where a call stands, as kept in the table service. */
export type CallRowState =
  | {
    readonly kind: "claimed";
    readonly vm: VmId;
    readonly incarnation: Incarnation;
    readonly token: string;
    readonly claimedAtMs: number;
  }
  | { readonly kind: "done"; readonly answer: ServiceAnswer }
  | { readonly kind: "released" }
  | { readonly kind: "unknown" };

/** The row of one call. */
export interface CallRow {
  readonly key: RequestKey;
  readonly caller: CallerId;
  readonly bodyDigest: Digest;
  readonly attempt: number;
  readonly expiresAtMs: number;
  readonly state: CallRowState;
}

/** A caller's connection that waits for a call. */
export interface CallWaiter {
  /** True once the caller is gone. */
  readonly gone: () => boolean;
}
