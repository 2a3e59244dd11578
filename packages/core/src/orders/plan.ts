/**
 * Plans the orders that bring a shard's engines from their reported state to the
 * manifest's.
 */
import type { Endpoint } from "../configuration/types.ts";
import type { EngineOrder, LoadReport } from "../ports/engines.ts";

/**
 * An engine of the manifest with its latest report; null if there is no usable
 * report.
 */
export interface ReportedEngine {
  readonly endpoint: Endpoint;
  readonly report: LoadReport | null;
}

/** Content of an order, without the fencing number. */
export type DesiredState = Omit<EngineOrder, "fencingNumber">;

/** An order for one of a shard's engines. */
export interface PlannedOrder {
  readonly endpoint: Endpoint;
  readonly state: DesiredState;
  /** Whether the order makes the engine load from the weight store. */
  readonly loads: boolean;
}

/** The orders that a shard needs. */
export interface OrderPlan {
  /** Orders that may be sent now. */
  readonly orders: readonly PlannedOrder[];
  /** Number of engines that need an order but must not get it yet. */
  readonly deferred: number;
}

/**
 * Plans the orders of a shard. `others` are the engines of other models in the
 * manifest, which show whether an engine is the last one that serves a model.
 */
export function planShard(
  engines: readonly ReportedEngine[],
  others: readonly ReportedEngine[],
): OrderPlan {
  const differing = engines.flatMap((engine) => {
    const planned = findNeededOrder(engine);
    return planned ? [{ engine, planned }] : [];
  });
  const allEngines = [...engines, ...others];
  const allowed = differing.filter(({ engine }) =>
    !engine.report!.loading && !isLastServing(engine, allEngines)
  );
  return {
    orders: allowed.map(({ planned }) => planned),
    deferred: differing.length - allowed.length,
  };
}

/**
 * Returns the order that an engine needs; null if its report matches the manifest,
 * if there is no report, and for services and endpoints that are not live.
 */
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

// An order takes an engine out of service for a while; another one must serve its
// models meanwhile.
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
  return a.length === b.length && a.every((adapter) => b.includes(adapter));
}
