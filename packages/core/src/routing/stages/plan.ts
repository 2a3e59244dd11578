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
/** Share of a pool that may be away at once; what is left serves the load meanwhile. */
const MAX_UNAVAILABLE_SHARE = 0.08;

/** A change of the stage of one endpoint, or of several in a large pool. */
export interface StageChange {
  /** Those with least work, the idlest first. */
  readonly endpoints: readonly EndpointEntry[];
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

interface Candidate {
  readonly from: Stage;
  readonly stage: Stage;
  readonly count: number;
  readonly rate: number;
  /** Streams more that are served within the horizon. */
  readonly gain: number;
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
  const [best] = listCandidates(counts, options)
    .sort((a, b) => b.gain - a.gain);
  if (!best) return null;
  const moved = endpoints
    .filter(({ stage }) => stage === best.from)
    .sort((a, b) => options.loadOf(a) - options.loadOf(b))
    .slice(0, best.count);
  return {
    endpoints: moved,
    stage: best.stage,
    ratePerSecond: rateOf(counts, options.needs),
    newRatePerSecond: best.rate,
  };
}

// In a large pool one endpoint alone changes too little to be worth an order.
function listCandidates(
  counts: StageCounts,
  options: StagePlanOptions,
): Candidate[] {
  const { needs, reconfigureMs } = options;
  const now = rateOf(counts, needs);
  const total = counts.prefill + counts.decode;
  const most = Math.max(1, Math.floor(total * MAX_UNAVAILABLE_SHARE));
  return (["prefill", "decode"] as const).flatMap((stage) => {
    const from = otherStage(stage);
    const movable = Math.min(most, counts[from] - 1);
    return Array.from({ length: Math.max(0, movable) }, (_, at) => at + 1)
      .map((count) => {
        const during = { ...counts, [from]: counts[from] - count };
        const after = { ...during, [stage]: counts[stage] + count };
        const rate = rateOf(after, needs);
        const lost = (now - rateOf(during, needs)) * reconfigureMs;
        const gained = (rate - now) * (HORIZON_MS - reconfigureMs);
        return { from, stage, count, rate, gain: gained - lost };
      })
      .filter(({ rate, gain }) => rate >= now * (1 + MIN_GAIN) && gain > 0);
  });
}

interface StageCounts {
  readonly prefill: number;
  readonly decode: number;
}

/** Streams a second that so many endpoints can serve. */
function rateOf(
  counts: StageCounts,
  needs: StageNeeds,
): number {
  const prefill = counts.prefill * PREFILL_UTILISATION / needs.prefillMs;
  const decode = counts.decode / needs.decodeMs;
  return 1_000 * Math.min(prefill, decode);
}

function otherStage(stage: Stage): Stage {
  return stage === "prefill" ? "decode" : "prefill";
}
