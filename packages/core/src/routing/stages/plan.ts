/**
 * Plans how many endpoints of a service read prompts and how many make tokens.
 *
 * Made for pools whose split does not fit their load: the stage that is short
 * refuses streams while the other has time to spare.
 */
import type { EndpointEntry, Stage } from "../types.ts";
import type { StageNeeds } from "./demand.ts";

/** How busy prefill endpoints may be; beyond it prompts queue for too long. */
const PREFILL_UTILISATION = 0.75;
/** A change must raise what the pool can serve by this share, as it may be undone soon. */
const MIN_GAIN = 0.06;
/** Time over which a change must pay for itself. */
const HORIZON_MS = 30_000;

/** A change of one endpoint's stage. */
export interface StageChange {
  readonly endpoint: EndpointEntry;
  readonly stage: Stage;
  /** Streams a second that the pool can serve before and after. */
  readonly ratePerSecond: number;
  readonly newRatePerSecond: number;
}

/** Options of {@link planStageChange}. */
export interface StagePlanOptions {
  needs: StageNeeds;
  /** How long an endpoint is away when it changes its stage. */
  reconfigureMs: number;
  /** This VM's work at an endpoint, in tokens. */
  loadOf: (endpoint: EndpointEntry) => number;
}

/** The change that gains most over the horizon, or null where none does. */
export function planStageChange(
  endpoints: readonly EndpointEntry[],
  options: StagePlanOptions,
): StageChange | null {
  const counts = {
    prefill: endpoints.filter(({ stage }) => stage === "prefill").length,
    decode: endpoints.filter(({ stage }) => stage === "decode").length,
  };
  const now = rateOf(counts, options.needs);
  const candidates = (["prefill", "decode"] as const).flatMap((stage) => {
    const from = otherStage(stage);
    if (counts[from] <= 1) return [];
    const during = { ...counts, [from]: counts[from] - 1 };
    const after = { ...during, [stage]: counts[stage] + 1 };
    const rate = rateOf(after, options.needs);
    const lost = (now - rateOf(during, options.needs)) * options.reconfigureMs;
    const gained = (rate - now) * (HORIZON_MS - options.reconfigureMs);
    const pays = rate >= now * (1 + MIN_GAIN) && gained > lost;
    return pays ? [{ stage, from, rate }] : [];
  });
  const [best] = candidates.sort((a, b) => b.rate - a.rate);
  if (!best) return null;
  const endpoint = endpoints
    .filter(({ stage }) => stage === best.from)
    .sort((a, b) => options.loadOf(a) - options.loadOf(b))[0]!;
  return {
    endpoint,
    stage: best.stage,
    ratePerSecond: now,
    newRatePerSecond: best.rate,
  };
}

/** Streams a second that so many endpoints can serve. */
function rateOf(
  counts: { prefill: number; decode: number },
  needs: StageNeeds,
): number {
  const prefill = counts.prefill * PREFILL_UTILISATION / needs.prefillMs;
  const decode = counts.decode / needs.decodeMs;
  return 1_000 * Math.min(prefill, decode);
}

function otherStage(stage: Stage): Stage {
  return stage === "prefill" ? "decode" : "prefill";
}
