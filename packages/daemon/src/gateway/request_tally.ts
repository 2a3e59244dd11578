/** What is counted of one request by workspace and priority. */
import type { Route } from "@teaselvalve/core/routing";
import { effectivePriority } from "@teaselvalve/core/routing";
import type {
  RequestLabels,
  WorkspaceMetrics,
} from "../observe/workspace_metrics.ts";
import type { IdentityFields } from "./identify_caller.ts";

/** Collects the labels and times of a request, and counts it once it has been handled. */
export class RequestTally {
  #counters: Pick<WorkspaceMetrics, "note"> | undefined;
  #receivedAtMs: number;
  #answeredAtMs: number | null = null;
  #labels: RequestLabels | null = null;

  /** The request isn't counted without counters. */
  constructor(
    counters: Pick<WorkspaceMetrics, "note"> | undefined,
    receivedAtMs: number,
  ) {
    this.#counters = counters;
    this.#receivedAtMs = receivedAtMs;
  }

  /** Notes the route, and the identity once it is known. Requests without a route aren't counted. */
  noteRoute(
    route: Route,
    identity: Pick<IdentityFields, "workspace" | "priority"> = {},
  ): void {
    this.#labels = {
      workspace: identity.workspace,
      priority: effectivePriority(identity, route),
    };
  }

  /** Notes that the answer has begun. */
  noteAnswer(): void {
    this.#answeredAtMs ??= performance.now();
  }

  /** Counts the request; `reason` says why it has no whole answer. */
  end(reason: string | undefined): void {
    if (!this.#labels) return;
    const answeredAtMs = this.#answeredAtMs ?? performance.now();
    const waitedMs = answeredAtMs - this.#receivedAtMs;
    this.#counters?.note(this.#labels, { reason, waitedMs });
  }
}
