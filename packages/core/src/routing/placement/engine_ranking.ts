/** Finds the engines that have room for a stream, now or within the time that it may wait. */
import type { EndpointId } from "../../common/ids.ts";
import { compareEngines, preferenceOf } from "./engine_preference.ts";
import type { EngineSpeeds } from "./engine_speeds.ts";
import type { PlaceRequest } from "./home.ts";
import { fitsEngine, type StreamLoad } from "./memory_forecast.ts";

/** Delays at which a place is looked for, in shares of the time that a stream may wait. */
const DELAY_SHARES = [0.1, 0.2, 0.35, 0.5, 0.75];

/** The streams of each engine. */
export type EngineLoads = Map<EndpointId, StreamLoad[]>;
/** Speed of an engine as a multiple of the typical one. */
type RelativeSpeed = (engine: EndpointId) => number;

/** Returns a stream as it is after generating more tokens; an empty list if it must have ended. */
export function grow(stream: StreamLoad, moreTokens: number): StreamLoad[] {
  const generatedTokens = stream.generatedTokens + moreTokens;
  return generatedTokens >= stream.maxTokens && moreTokens > 0
    ? []
    : [{ ...stream, generatedTokens }];
}

/** What decides the order of the engines for one stream. */
export interface Ranking {
  readonly request: PlaceRequest;
  readonly speeds: EngineSpeeds;
  readonly speedOf: RelativeSpeed;
}

/** Returns the engines with room for a stream, the preferred one first. */
export function rankFitting(
  loads: EngineLoads,
  ranking: Ranking,
): EndpointId[] {
  const { engines, stream, capacity } = ranking.request;
  return engines
    .map((engine) => ({ engine, streams: loads.get(engine) ?? [] }))
    .filter(({ streams }) => fitsEngine(streams, { stream, capacity }))
    .map(({ engine, streams }) => ({
      engine,
      ...preferenceOf(engine, { streams, ...ranking }),
    }))
    .sort(compareEngines)
    .map(({ engine }) => engine);
}

/**
 * Keeps the place that a waiting stream will get, also where a smaller one would fit
 * sooner; otherwise small streams would keep large ones waiting.
 */
export function holdPlace(loads: EngineLoads, ranking: Ranking): void {
  const { request: waiting } = ranking;
  // It may also wait for engines that are not in question, of other shards for instance.
  const engines = waiting.engines.filter((engine) => loads.has(engine));
  const request = { ...waiting, engines };
  const [fitting] = rankFitting(loads, { ...ranking, request });
  const engine = fitting ??
    soonestPlace(loads, { ...ranking, request })?.engine;
  if (engine) loads.get(engine)!.push(request.stream);
}

/** Returns the first engine that is likely to have room in time, and when; null if none is. */
export function soonestPlace(
  loads: EngineLoads,
  { request, speedOf }: Pick<Ranking, "request" | "speedOf">,
): { engine: EndpointId; delayMs: number } | null {
  const { engines, stream, capacity, tokensPerMs, spareMs } = request;
  for (const share of DELAY_SHARES) {
    const delayMs = share * spareMs;
    const engine = engines.find((id) =>
      fitsEngine(loads.get(id) ?? [], {
        stream,
        capacity,
        delayTokens: delayMs * tokensPerMs * speedOf(id),
      })
    );
    if (engine) return { engine, delayMs };
  }
  return null;
}
