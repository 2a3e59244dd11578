/** Calls to the other VMs. */
import type { Result } from "neverthrow";
import type { ParamsOf, ResultOf } from "../common/app.ts";
import type { PeerHandlers } from "../peers/types.ts";

/** Where a VM's peer interface is reached. */
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
  /** Uses a connection that no earlier call has used. */
  fresh?: boolean;
}

/** Calls a method of another VM by json-rpc-2.0. */
export interface PeerPort {
  call<Name extends keyof PeerHandlers>(
    peer: PeerRef,
    method: Name,
    options: PeerCallOptions<Name>,
  ): Promise<Result<ResultOf<PeerHandlers, Name>, PeerFailure>>;
}
