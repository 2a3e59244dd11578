/** Plain services beside the model engines. */
import type { Result } from "neverthrow";
import type { EndpointRef } from "./engines.ts";

/** A call as it goes to a plain service. */
export interface ServiceRequest {
  readonly method: string;
  readonly path: string;
  readonly contentType: string;
  readonly body: string;
  /** Passed on as `Idempotency-Key`. */
  readonly key: string;
}

/** A plain service's answer. */
export interface ServiceAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: string;
}

/** `notSent`: the connection was refused before a byte was written. All else may have run. */
export type SendFailure =
  | { readonly kind: "notSent" }
  | { readonly kind: "lost" }
  | { readonly kind: "timeout" };

/** Sends calls to plain services. It never retries by itself. */
export interface ServicePort {
  call(
    endpoint: EndpointRef,
    request: ServiceRequest,
    options: { timeoutMs: number },
  ): Promise<Result<ServiceAnswer, SendFailure>>;
}
