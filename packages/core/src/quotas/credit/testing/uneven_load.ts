/** Sixteen workspaces of uneven size and their requests, for tests of quotas. */
import { CreditWorld, type Load, workspaceOf } from "./credit_world.ts";

export { CreditWorld } from "./credit_world.ts";

/** Tokens per second of the workspaces; the largest is that of the specification. */
const RATES = [246_211, 120_000, 60_000, 30_000].concat(
  Array.from({ length: 12 }, (_, index) => 4_000 + 1_500 * index),
);
const MEAN_TOKENS = 3_700;
/** The accounts start empty, and homes that have just begun grant less. */
const WARM_UP_MS = 4_000;
/** Time that a request may wait for credit: a fifth of a target of 800 ms. */
const WAIT_MS = 160;

/** The workspaces, largest first. */
export const WORKSPACES = RATES.map((perSecond, index) =>
  workspaceOf(`w${index}`, { perSecond, burst: perSecond })
);

/** Options of {@link loadsOf}. */
export interface LoadOptions {
  /** Cost of the requests, relative to the quota. */
  share: number;
  /** Times that the largest workspace asks for as much. */
  factor?: number;
  /** Share of the requests that are refused after their admission. */
  notRunShare?: number;
  workspaces?: typeof WORKSPACES;
  meanTokens?: number;
}

/** Returns the requests of all workspaces. */
export function loadsOf(
  {
    share,
    factor = 1,
    notRunShare = 0,
    workspaces = WORKSPACES,
    meanTokens = MEAN_TOKENS,
  }: LoadOptions,
): Load[] {
  return workspaces.map((workspace, index) => {
    const { perSecond } = workspace.quota!;
    // Where one request takes more than a second's worth, random arrivals exceed the quota.
    const mean = Math.min(meanTokens, perSecond / 8);
    return {
      workspace,
      perSecond: (index === 0 ? factor : 1) * share * perSecond / mean,
      tokens: (random) => Math.round(mean * (0.3 + 1.4 * random())),
      waitMs: WAIT_MS,
      notRunShare,
    };
  });
}

/** Creates VMs whose accounts have filled up. */
export async function startWorld(
  count: number,
  { workspaces = WORKSPACES, seed = 1 } = {},
): Promise<CreditWorld> {
  const world = new CreditWorld(count, { workspaces, seed });
  await world.run(WARM_UP_MS, []);
  return world;
}
