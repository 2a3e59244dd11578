/** Context passed to the handlers of the caller interface. */
import type { Observer, Refusal, Vm } from "@teaselvalve/core";
import type { Principal } from "./authenticate.ts";

/** Dependencies and state of one caller request. */
export interface CallerContext {
  /** Handlers submit work only through the gate, which a graceful shutdown closes. */
  readonly vm: Pick<Vm, "configuration" | "gate">;
  readonly observer: Observer;
  readonly bodyLimitBytes: number;
  readonly principal: Principal;
  /** Sends a refusal and counts it. */
  readonly refuse: (refusal: Refusal) => void;
  /** Sends a refusal that has already been counted. */
  readonly sendRefusal: (refusal: Refusal) => void;
}
