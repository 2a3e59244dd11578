/** Compares what the manifest wants of a shard's engines with what their reports show. */
import type { Endpoint } from "../configuration/types.ts";
import type { EngineOrder, LoadReport } from "../ports/engines.ts";

/** An engine of the manifest with its newest report; null where it doesn't answer. */
export interface ReportedEngine {
  readonly endpoint: Endpoint;
  readonly report: LoadReport | null;
}

/** What an engine is to be ordered, without the fencing number. */
export type DesiredState = Omit<EngineOrder, "fencingNumber">;

/** One order that a shard needs. */
export interface PlannedOrder {
  readonly endpoint: Endpoint;
  readonly state: DesiredState;
  /** Whether the engine draws weights from the weight store for it. */
  readonly loads: boolean;
}

/** What a shard needs. */
export interface OrderPlan {
  /** Orders that may go now. */
  readonly orders: readonly PlannedOrder[];
  /** Engines that differ but must not be ordered yet. */
  readonly deferred: number;
}

/** Plans the orders of a shard. `others` are engines of other models in the manifest. */
export function planShard(
  engines: readonly ReportedEngine[],
  others: readonly ReportedEngine[],
): OrderPlan {
  const differing = engines.flatMap((engine) => {
    const planned = findNeededOrder(engine);
    return planned ? [{ engine, planned }] : [];
  });
  const everything = [...engines, ...others];
  const allowed = differing.filter(({ engine }) =>
    !engine.report!.loading && !isLastServing(engine, everything)
  );
  return {
    orders: allowed.map(({ planned }) => planned),
    deferred: differing.length - allowed.length,
  };
}

/** Whether a report shows what the manifest wants. */
export function findNeededOrder(engine: ReportedEngine): PlannedOrder | null {
  const { endpoint, report } = engine;
  const { model, modelVersion, adapters } = endpoint;
  if (!report || endpoint.kind === "service" || endpoint.state !== "live") {
    return null;
  }
  const loads = !report.models.includes(model!) ||
    (modelVersion !== undefined && report.modelVersion !== modelVersion) ||
    !sameSet(adapters, report.adapters ?? []);
  if (!loads && report.role === endpoint.kind) return null;
  const state: DesiredState = {
    role: endpoint.kind,
    model,
    adapters,
    ...(modelVersion === undefined ? {} : { modelVersion }),
  };
  return { endpoint, state, loads };
}

// An order takes an engine out of use for a while; another one must serve what it serves now.
function isLastServing(
  engine: ReportedEngine,
  engines: readonly ReportedEngine[],
): boolean {
  const report = engine.report!;
  if (report.state !== "live") return false;
  return report.models.some((model) => {
    const isInManifest = engines.some(({ endpoint }) =>
      endpoint.model === model && endpoint.kind === report.role
    );
    const isServedElsewhere = engines.some((other) =>
      other.endpoint.id !== engine.endpoint.id && serves(other, model) &&
      other.report?.role === report.role
    );
    return isInManifest && !isServedElsewhere;
  });
}

function serves(engine: ReportedEngine, model: string): boolean {
  const { report, endpoint } = engine;
  return report !== null && report.state === "live" && !report.loading &&
    endpoint.state === "live" && report.models.includes(model);
}

function sameSet(a: readonly string[], b: readonly string[]): boolean {
  return a.length === b.length && a.every((one) => b.includes(one));
}
