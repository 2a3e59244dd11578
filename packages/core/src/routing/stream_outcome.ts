/** How a stream ends for its caller. */
import type { Refusal } from "../common/verdict.ts";

/** Outcome of a stream for its caller. */
export type StreamOutcome =
  | { readonly kind: "complete" }
  /** Nothing was passed on to the caller. */
  | { readonly kind: "refused"; readonly refusal: Refusal }
  /** The answer was passed on in part, and can't be continued. */
  | { readonly kind: "broken"; readonly reason: string };
