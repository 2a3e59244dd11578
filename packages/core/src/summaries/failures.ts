/** Decides what an engine's failure means for a summary. */
import type { EngineFailure } from "../ports/engines.ts";
import type { RetryReason } from "../retries/budget.ts";

/** What follows from a failure. */
export type FailurePlan =
  /** Another VM has attached to the run. */
  | { readonly kind: "superseded" }
  /** The run may still be there: attach again. */
  | { readonly kind: "attach" }
  /** The decode replica took nothing; the prefill's result may be used elsewhere. */
  | { readonly kind: "reassign"; readonly reason: RetryReason }
  /** The attempt is over. */
  | {
    readonly kind: "retry";
    readonly reason: RetryReason;
    /** The replica died with the request in flight. */
    readonly crashed: boolean;
  };

/** Where the run stood. */
export type FailureStage = "prefilling" | "starting" | "relaying" | "attaching";

/** Plans what to do after a failure. `lost`: the run's connection broke before. */
export function planAfterFailure(
  failure: EngineFailure,
  at: { stage: FailureStage; lost: boolean },
): FailurePlan {
  switch (failure.kind) {
    case "rejected":
      return planAfterRejection(failure.code, at);
    case "notSent":
      return at.stage === "starting"
        ? { kind: "reassign", reason: "engine-refused" }
        : {
          kind: "retry",
          reason: "engine-crashed",
          crashed: at.stage === "attaching" && at.lost,
        };
    case "lost":
    case "timeout":
      return at.stage === "prefilling"
        ? { kind: "retry", reason: "connection-lost", crashed: false }
        : { kind: "attach" };
  }
}

function planAfterRejection(
  code: Extract<EngineFailure, { kind: "rejected" }>["code"],
  at: { stage: FailureStage; lost: boolean },
): FailurePlan {
  if (code === "superseded") return { kind: "superseded" };
  if (at.stage !== "starting") {
    const crashed = code === "unknown-stream" && at.lost;
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
