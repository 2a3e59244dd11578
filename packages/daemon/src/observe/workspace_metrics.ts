/** Counters of requests by workspace and priority. */
import { Counter, type Registry } from "prom-client";

/** Workspaces with a label of their own; each adds series for all its priorities. */
const MAX_LABELS = 64;
const NO_WORKSPACE = "(none)";
const OTHER_WORKSPACES = "(other)";

/** The labels of a request. */
export interface RequestLabels {
  /** Undefined if the request has no workspace. */
  readonly workspace?: string | undefined;
  readonly priority: number;
}

/** How a request ended; `reason` is undefined if it was served. */
export interface RequestEnd {
  readonly reason?: string | undefined;
  /** Time until the answer began or the request was refused. */
  readonly waitedMs: number;
}

const LABELS = ["workspace", "priority"] as const;

/** Counts the requests of callers. */
export class WorkspaceMetrics {
  #requests: Counter<"workspace" | "priority">;
  #served: Counter<"workspace" | "priority">;
  #waitedMs: Counter<"workspace" | "priority">;
  #refused: Counter<"workspace" | "priority" | "reason">;
  #labelled = new Set<string>();

  constructor(registry: Registry) {
    const registers = [registry];
    this.#requests = new Counter({
      name: "teaselvalve_workspace_requests_total",
      help: "Requests of callers, by workspace and priority",
      labelNames: LABELS,
      registers,
    });
    this.#served = new Counter({
      name: "teaselvalve_workspace_served_total",
      help: "Requests with a whole answer, by workspace and priority",
      labelNames: LABELS,
      registers,
    });
    this.#waitedMs = new Counter({
      name: "teaselvalve_workspace_waited_ms_total",
      help:
        "Time until answers began or requests were refused, by workspace and priority",
      labelNames: LABELS,
      registers,
    });
    this.#refused = new Counter({
      name: "teaselvalve_workspace_refused_total",
      help:
        "Requests that were refused or cut off, by workspace, priority and reason",
      labelNames: [...LABELS, "reason"],
      registers,
    });
  }

  /** Counts a request that has ended. */
  note(labels: RequestLabels, { reason, waitedMs }: RequestEnd): void {
    const workspace = this.#labelOf(labels.workspace);
    const priority = String(labels.priority);
    this.#requests.inc({ workspace, priority });
    this.#waitedMs.inc({ workspace, priority }, Math.max(0, waitedMs));
    if (reason === undefined) this.#served.inc({ workspace, priority });
    else this.#refused.inc({ workspace, priority, reason });
  }

  #labelOf(workspace: string | undefined): string {
    if (workspace === undefined) return NO_WORKSPACE;
    if (this.#labelled.has(workspace)) return workspace;
    if (this.#labelled.size >= MAX_LABELS) return OTHER_WORKSPACES;
    this.#labelled.add(workspace);
    return workspace;
  }
}
