/**
 * Forecasts whether the streams of a decode engine, which grow until they end, will
 * exceed its memory. An engine that runs out of memory preempts a stream, which
 * pauses and whose prompt is read again.
 *
 * Answers a load of engines that are nearly full, with streams whose outputs are as
 * long as their prompts or far shorter, and whose lengths are known only roughly.
 */

/** Memory and expected growth of one stream, in tokens. */
export interface StreamLoad {
  readonly promptTokens: number;
  /** Output generated so far. */
  readonly generatedTokens: number;
  /** Median of the whole output. */
  readonly expectedTokens: number;
  /** Upper bound of the whole output. */
  readonly maxTokens: number;
}

/** What an engine can hold. */
export interface EngineCapacity {
  readonly slots: number;
  readonly kvTokens: number;
}

/** Standard deviations of the forecast memory that must fit as well: about one forecast in 28 is exceeded. */
const RISK_SIGMAS = 1.8;
/**
 * The same for room that is only expected: who has ended by then will be known when the
 * stream is placed, so that it is worth waiting for what is likely.
 */
const EXPECTED_SIGMAS = 0.5;
/**
 * Memory left free, in outputs of average length: the loads of streams are reported
 * with a delay, and the estimates of their outputs are wrong together.
 */
const HEADROOM_OUTPUTS = 1;
/**
 * Shape of the log-logistic distribution of outputs around their median; callers'
 * estimates have a standard deviation of about half of the output.
 */
const OUTPUT_SHAPE = 3.4;
/** Points in time at which the memory is forecast, over this share of the longest output. */
const STEPS = 10;
const HORIZON_SHARE = 0.8;

/**
 * Returns whether an engine with these streams can take one more that starts once
 * each of them has generated `delayTokens` more. A stream fits an empty engine in
 * any case; whether it is too large is for the engine to say.
 */
export function fitsEngine(
  streams: readonly StreamLoad[],
  { capacity, stream, delayTokens = 0 }: {
    capacity: EngineCapacity;
    stream: StreamLoad;
    delayTokens?: number;
  },
): boolean {
  if (streams.length === 0) return true;
  const remaining = streams.map((running) => survivalOf(running));
  const runningThen = remaining.reduce(
    (sum, survival) => sum + survival(delayTokens),
    0,
  );
  if (runningThen + 1 > capacity.slots + 1e-6) return false;
  const sigmas = delayTokens > 0 ? EXPECTED_SIGMAS : RISK_SIGMAS;
  const limitTokens = capacity.kvTokens -
    HEADROOM_OUTPUTS * meanOutput([...streams, stream]);
  const started = survivalOf(stream);
  const horizonTokens = HORIZON_SHARE *
    Math.max(stream.maxTokens, ...streams.map(({ maxTokens }) => maxTokens));
  for (let step = 0; step <= STEPS; step += 1) {
    const sinceTokens = horizonTokens * step / STEPS;
    const grownTokens = delayTokens + sinceTokens;
    let mean = 0;
    let variance = 0;
    let most = 0;
    const add = (probability: number, tokens: number) => {
      if (probability > 0) most += tokens;
      mean += probability * tokens;
      variance += probability * (1 - probability) * tokens ** 2;
    };
    streams.forEach((running, index) =>
      add(remaining[index]!(grownTokens), heldTokens(running) + grownTokens)
    );
    add(started(sinceTokens), heldTokens(stream) + sinceTokens);
    const likely = mean + sigmas * Math.sqrt(variance);
    if (Math.min(most, likely) > limitTokens) return false;
  }
  return true;
}

function meanOutput(streams: readonly StreamLoad[]): number {
  const sum = streams.reduce(
    (tokens, { expectedTokens }) => tokens + expectedTokens,
    0,
  );
  return sum / streams.length;
}

/** Returns the KV cache that a stream holds now, in tokens. */
export function heldTokens(
  { promptTokens, generatedTokens }: StreamLoad,
): number {
  return promptTokens + generatedTokens;
}

/** Returns the probability that a stream still runs after generating more tokens. */
export function survivalOf(
  { generatedTokens, expectedTokens, maxTokens }: StreamLoad,
): (moreTokens: number) => number {
  const median = Math.max(1, expectedTokens);
  const odds = (tokens: number) => 1 + (tokens / median) ** OUTPUT_SHAPE;
  const oddsNow = odds(generatedTokens);
  return (moreTokens) => {
    const tokens = generatedTokens + moreTokens;
    return moreTokens > 0 && tokens >= maxTokens ? 0 : oddsNow / odds(tokens);
  };
}
