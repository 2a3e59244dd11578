/** Decides how a summary continues after an engine failure. */
import type { EngineFailure } from "../ports/engines.ts";
import type { RetryReason } from "../retries/budget.ts";

/** The step to take after a failure. */
export type FailurePlan =
  /** Another VM has attached to the run. */
  | { readonly kind: "superseded" }
  /** The run may still exist: attach again. */
  | { readonly kind: "attach" }
  /** The decode replica didn't use the prefill's result; another one may. */
  | { readonly kind: "reassign"; readonly reason: RetryReason }
  /** The attempt is over. */
  | {
    readonly kind: "retry";
    readonly reason: RetryReason;
    /** The replica crashed with the request in flight. */
    readonly crashed: boolean;
  };

/** State of the summary's machine in which an engine call can fail. */
export type FailureState = "prefilling" | "starting" | "relaying" | "attaching";

/**
 * Returns the step to take after a failure. `run.lost` is true when the run's
 * connection was lost before this failure.
 */
export function planAfterFailure(
  failure: EngineFailure,
  run: { state: FailureState; lost: boolean },
): FailurePlan {
  switch (failure.kind) {
    case "rejected":
      return planAfterRejection(failure.code, run);
    case "notSent":
      return run.state === "starting"
        ? { kind: "reassign", reason: "engine-refused" }
        : {
          kind: "retry",
          reason: "engine-crashed",
          crashed: run.state === "attaching" && run.lost,
        };
    case "lost":
    case "timeout":
      return run.state === "prefilling"
        ? { kind: "retry", reason: "connection-lost", crashed: false }
        : { kind: "attach" };
  }
}

function planAfterRejection(
  code: Extract<EngineFailure, { kind: "rejected" }>["code"],
  run: { state: FailureState; lost: boolean },
): FailurePlan {
  if (code === "superseded") return { kind: "superseded" };
  if (run.state !== "starting") {
    const crashed = code === "unknown-stream" && run.lost;
    const reason = crashed ? "engine-crashed" : "engine-refused";
    return { kind: "retry", reason, crashed };
  }
  switch (code) {
    case "export-gone":
    case "cancelled":
      return { kind: "retry", reason: "export-gone", crashed: false };
    case "transfer-failed":
      return { kind: "reassign", reason: "transfer-failed" };
    default:
      return { kind: "reassign", reason: "engine-refused" };
  }
}
