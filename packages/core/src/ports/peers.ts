/** Interface for calls to other VMs. */
import type { Result } from "neverthrow";
import type { ParamsOf, ResultOf } from "../common/app.ts";
import type { PeerHandlers } from "../peers/types.ts";

/** Id of a VM and address of its peer interface. */
export interface PeerRef {
  readonly id: string;
  readonly peerAddress: string;
}

/** Why a call to a peer failed. */
export type PeerFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" }
  | { readonly kind: "refused"; readonly message: string };

/** Options of a peer call. */
export interface PeerCallOptions<Name extends keyof PeerHandlers> {
  params: ParamsOf<PeerHandlers, Name>;
  timeoutMs: number;
  /**
   * Limit for an answer so large that a slow link needs longer than `timeoutMs`, which
   * then limits the time without progress.
   */
  wholeMs?: number;
  /** Uses a new connection instead of a pooled one. */
  fresh?: boolean;
}

/** Calls methods of other VMs by JSON-RPC 2.0. */
export interface PeerPort {
  call<Name extends keyof PeerHandlers>(
    peer: PeerRef,
    method: Name,
    options: PeerCallOptions<Name>,
  ): Promise<Result<ResultOf<PeerHandlers, Name>, PeerFailure>>;
}
