/** What the handlers of the caller interface are given. */
import type { Observer, Refusal, Vm } from "@teaselvalve/core";
import type { Principal } from "./authenticate.ts";

/** What one request's handler needs. */
export interface CallerContext {
  /** Handlers reach summaries and calls through the gate only, which a planned stop closes. */
  readonly vm: Pick<Vm, "configuration" | "gate">;
  readonly observer: Observer;
  readonly bodyLimitBytes: number;
  readonly principal: Principal;
  /** Answers with a refusal and counts it. */
  readonly refuse: (refusal: Refusal) => void;
  /** Answers with a refusal that was counted where it was decided. */
  readonly sendRefusal: (refusal: Refusal) => void;
}
