/**
 * Plans how many endpoints of a service do prefill and how many do decode.
 *
 * When the split of a pool does not fit its load, the stage that is short of
 * endpoints refuses streams while the other has idle capacity.
 */
import type { EndpointEntry, Stage } from "../types.ts";
import type { StageNeeds } from "./demand.ts";

/**
 * Prefill endpoints kept free, in multiples of the square root of their number: prompts
 * arrive at random, and the more endpoints there are the less of them has to be spare.
 */
const SPARE_PREFILL = 0.45;
/**
 * A change must raise the pool's capacity by this share. The needs of streams are known
 * to about a tenth, and a change that is reversed costs two reconfigurations.
 */
const MIN_GAIN = 0.12;
/** Time within which a change must gain more streams than it costs. */
const HORIZON_MS = 30_000;
/** Share of a pool that may be reconfiguring at once if the others can serve less meanwhile. */
const MAX_UNAVAILABLE_SHARE = 0.08;
/** Share of a stage's endpoints that may move at once if the pool can do without them. */
const MAX_IDLE_SHARE = 1 / 3;

/** A move of one endpoint to another stage, or of several in a large pool. */
export interface StageChange {
  /** The endpoints to move, least loaded first. */
  readonly endpoints: readonly EndpointEntry[];
  readonly stage: Stage;
  /** Streams per second that the pool can serve before and after the move. */
  readonly ratePerSecond: number;
  readonly newRatePerSecond: number;
}

/** Options of {@link planStageChange}. */
export interface StagePlanOptions {
  needs: StageNeeds;
  /** How long an endpoint takes no work when it changes its stage. */
  reconfigureMs: number;
  /** This VM's load at an endpoint, in tokens. */
  loadOf: (endpoint: EndpointEntry) => number;
}

interface Candidate {
  readonly from: Stage;
  readonly stage: Stage;
  readonly count: number;
  readonly rate: number;
  /** Additional streams served within the horizon, in thousandths of a stream. */
  readonly gain: number;
}

/** Returns the change with the largest gain within the horizon, or null if none has a gain. */
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

// Lists moves of several endpoints too: in a large pool the gain of a single one
// is too small to justify an order.
function listCandidates(
  counts: StageCounts,
  options: StagePlanOptions,
): Candidate[] {
  const { needs, reconfigureMs } = options;
  const currentRate = rateOf(counts, needs);
  const total = counts.prefill + counts.decode;
  const maxMoved = Math.max(1, Math.floor(total * MAX_UNAVAILABLE_SHARE));
  return (["prefill", "decode"] as const).flatMap((stage) => {
    const from = otherStage(stage);
    const movable = Math.max(0, counts[from] - 1);
    return Array.from({ length: movable }, (_, index) => index + 1)
      .map((count) => {
        const during = { ...counts, [from]: counts[from] - count };
        const after = { ...during, [stage]: counts[stage] + count };
        const rate = rateOf(after, needs);
        const lostRate = currentRate - rateOf(during, needs);
        const gained = (rate - currentRate) * (HORIZON_MS - reconfigureMs);
        const gain = gained - lostRate * reconfigureMs;
        return { from, stage, count, rate, lostRate, gain };
      })
      .filter(({ count, rate, lostRate, gain }) =>
        rate >= currentRate * (1 + MIN_GAIN) && gain > 0 &&
        (count <= maxMoved ||
          lostRate <= 0 && count <= MAX_IDLE_SHARE * counts[from])
      );
  });
}

interface StageCounts {
  readonly prefill: number;
  readonly decode: number;
}

/** Returns the streams per second that these numbers of endpoints can serve. */
function rateOf(
  counts: StageCounts,
  needs: StageNeeds,
): number {
  const spare = SPARE_PREFILL * Math.sqrt(counts.prefill);
  const prefill = (counts.prefill - spare) / needs.prefillMs;
  const decode = counts.decode / needs.decodeMs;
  return 1_000 * Math.min(prefill, decode);
}

function otherStage(stage: Stage): Stage {
  return stage === "prefill" ? "decode" : "prefill";
}
