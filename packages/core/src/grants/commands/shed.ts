/** Chooses which waiting requests to refuse when not all can be served in time. */
import type { ShardView } from "../policies/types.ts";
import {
  costOf,
  expectedSupply,
  type Forecast,
  maxDemandRatio,
  requiredAmounts,
  type ResourceAmounts,
  type WaitingRequest,
} from "../queries/forecast.ts";
import type { WorkspaceId } from "../../common/ids.ts";
import type { WorkspaceShares } from "../shares.ts";

/** Mean requests that may wait beyond what is forecast to be served. */
const SLACK_REQUESTS = 3;

/** Options of {@link chooseVictims}. */
export interface ShedOptions {
  view: ShardView;
  shares: WorkspaceShares;
  meanTokens: number;
  /** Time within which a grant is still of use to those that wait. */
  withinMs: number;
}

/** Names the requests to refuse: the costliest, of workspaces over their share first. */
export function chooseVictims(
  waiting: readonly WaitingRequest[],
  options: ShedOptions,
): WaitingRequest[] {
  const { view } = options;
  const kept = [...waiting];
  const victims: WaitingRequest[] = [];
  if (kept.length < 2) return victims;
  const supply = expectedSupply(view, options.withinMs);
  const demand = total(kept, view);
  const over = options.shares.overShare(
    kept.map((one) => one.request.workspace),
    view.nowMs,
  );
  while (kept.length > 1) {
    const forecast = { supply: withSlack(supply, { demand, kept }), demand };
    if (maxDemandRatio(forecast) <= 1) break;
    const victim = costliest(kept, { ...options, forecast, over });
    kept.splice(kept.indexOf(victim), 1);
    victims.push(victim);
    subtract(demand, requiredAmounts(view, victim.request));
  }
  return victims;
}

function costliest(
  kept: readonly WaitingRequest[],
  options: ShedOptions & {
    forecast: Forecast;
    over: ReadonlySet<WorkspaceId>;
  },
): WaitingRequest {
  const first = kept.filter((one) => options.over.has(one.request.workspace));
  const from = first.length > 0 ? first : kept;
  let worst = from[0]!;
  let worstCost = Number.NEGATIVE_INFINITY;
  for (const one of from) {
    const cost = costOf(one, options);
    if (cost < worstCost) continue;
    worst = one;
    worstCost = cost;
  }
  return worst;
}

/** A few mean requests more than forecast are kept, as what waits costs nothing yet. */
function withSlack(
  supply: ResourceAmounts,
  options: { demand: ResourceAmounts; kept: readonly WaitingRequest[] },
): ResourceAmounts {
  const { demand, kept } = options;
  const one = SLACK_REQUESTS / kept.length;
  return {
    slots: supply.slots + demand.slots * one,
    pieces: supply.pieces + demand.pieces * one,
    prefillMs: supply.prefillMs + demand.prefillMs * one,
    linkMs: supply.linkMs + demand.linkMs * one,
  };
}

function total(
  waiting: readonly WaitingRequest[],
  view: ShardView,
): ResourceAmounts {
  const sum: ResourceAmounts = { slots: 0, pieces: 0, prefillMs: 0, linkMs: 0 };
  for (const one of waiting) {
    const own = requiredAmounts(view, one.request);
    sum.slots += own.slots;
    sum.pieces += own.pieces;
    sum.prefillMs += own.prefillMs;
    sum.linkMs += own.linkMs;
  }
  return sum;
}

function subtract(from: ResourceAmounts, own: ResourceAmounts): void {
  from.slots -= own.slots;
  from.pieces -= own.pieces;
  from.prefillMs -= own.prefillMs;
  from.linkMs -= own.linkMs;
}
