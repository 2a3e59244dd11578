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

/** Requests of mean size that may wait beyond the forecast supply. */
const SLACK_REQUESTS = 3;

/** Options of {@link chooseRequestsToShed}. */
export interface ShedOptions {
  view: ShardView;
  shares: WorkspaceShares;
  /** Mean output length over all workspaces. */
  meanTokens: number;
  /** Time until the last moment at which a grant could still be in time for any of the requests. */
  withinMs: number;
}

/**
 * Returns the requests to refuse: the costliest ones, those of workspaces over
 * their share first. At least one request is kept.
 */
export function chooseRequestsToShed(
  waiting: readonly WaitingRequest[],
  options: ShedOptions,
): WaitingRequest[] {
  const { view } = options;
  const remaining = [...waiting];
  const victims: WaitingRequest[] = [];
  if (remaining.length < 2) return victims;
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
    const victim = findCostliest(remaining, {
      ...options,
      forecast,
      overShare,
    });
    remaining.splice(remaining.indexOf(victim), 1);
    victims.push(victim);
    subtract(demand, requiredAmounts(view, victim.request));
  }
  return victims;
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

/** Adds SLACK_REQUESTS of mean size to the supply, as queued requests use no resources yet. */
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
