/** Interface to plain services, the back ends that aren't model engines. */
import type { Result } from "neverthrow";
import type { EndpointRef } from "./engines.ts";

/** A call as it is sent to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Sent as the `Idempotency-Key` header. */
  readonly key: string;
}

/** A plain service's answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/**
 * Why a call to a plain service failed. `notSent` means that no connection was made,
 * so no byte was sent; after any other failure the call may have run.
 */
export type SendFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** Sends calls to plain services, without retries. */
export interface ServicePort {
  call(
    endpoint: EndpointRef,
    request: ServiceRequest,
    options: { timeoutMs: number },
  ): Promise<Result<ServiceAnswer, SendFailure>>;
}
