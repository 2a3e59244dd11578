/** Load shedding: chooses which queued requests to refuse when not all can be served in time. */
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

/** The queue may exceed the expected supply by this many requests of mean size. */
const SLACK_REQUESTS = 3;

/** Options of {@link chooseRequestsToShed}. */
export interface ShedOptions {
  view: ShardView;
  shares: WorkspaceShares;
  /** Mean output length over all workspaces. */
  meanTokens: number;
  /** Time from now to the latest moment at which one of the requests can still be granted in time. */
  withinMs: number;
}

/**
 * Returns the requests to refuse. Picks the costliest one until the rest can be
 * served, only from workspaces over their share while these have requests. At
 * least one request is kept.
 */
export function chooseRequestsToShed(
  waiting: readonly WaitingRequest[],
  options: ShedOptions,
): WaitingRequest[] {
  const { view } = options;
  const remaining = [...waiting];
  const refused: WaitingRequest[] = [];
  if (remaining.length < 2) return refused;
  const supply = expectedSupply(view, options.withinMs);
  const demand = totalDemand(remaining, view);
  const overShare = options.shares.overShare(
    remaining.map((one) => one.request.workspace),
    view.nowMs,
  );
  while (remaining.length > 1) {
    const forecast = {
      supply: withSlack(supply, { demand, remaining }),
      demand,
    };
    if (maxDemandRatio(forecast) <= 1) break;
    const costliest = findCostliest(remaining, {
      ...options,
      forecast,
      overShare,
    });
    remaining.splice(remaining.indexOf(costliest), 1);
    refused.push(costliest);
    subtract(demand, requiredAmounts(view, costliest.request));
  }
  return refused;
}

function findCostliest(
  remaining: readonly WaitingRequest[],
  options: ShedOptions & {
    forecast: Forecast;
    overShare: ReadonlySet<WorkspaceId>;
  },
): WaitingRequest {
  const overShareRequests = remaining.filter((one) =>
    options.overShare.has(one.request.workspace)
  );
  const candidates = overShareRequests.length > 0
    ? overShareRequests
    : remaining;
  let costliest = candidates[0]!;
  let highestCost = Number.NEGATIVE_INFINITY;
  for (const candidate of candidates) {
    const cost = costOf(candidate, options);
    if (cost < highestCost) continue;
    costliest = candidate;
    highestCost = cost;
  }
  return costliest;
}

/** Adds the demand of SLACK_REQUESTS mean requests to the supply: that many more may wait, as queued requests use no resources yet. */
function withSlack(
  supply: ResourceAmounts,
  options: { demand: ResourceAmounts; remaining: readonly WaitingRequest[] },
): ResourceAmounts {
  const { demand, remaining } = options;
  const slackShare = SLACK_REQUESTS / remaining.length;
  return {
    slots: supply.slots + demand.slots * slackShare,
    kvBlocks: supply.kvBlocks + demand.kvBlocks * slackShare,
    prefillMs: supply.prefillMs + demand.prefillMs * slackShare,
    linkMs: supply.linkMs + demand.linkMs * slackShare,
  };
}

function totalDemand(
  waiting: readonly WaitingRequest[],
  view: ShardView,
): ResourceAmounts {
  const total: ResourceAmounts = {
    slots: 0,
    kvBlocks: 0,
    prefillMs: 0,
    linkMs: 0,
  };
  for (const queued of waiting) {
    const required = requiredAmounts(view, queued.request);
    total.slots += required.slots;
    total.kvBlocks += required.kvBlocks;
    total.prefillMs += required.prefillMs;
    total.linkMs += required.linkMs;
  }
  return total;
}

function subtract(total: ResourceAmounts, required: ResourceAmounts): void {
  total.slots -= required.slots;
  total.kvBlocks -= required.kvBlocks;
  total.prefillMs -= required.prefillMs;
  total.linkMs -= required.linkMs;
}
