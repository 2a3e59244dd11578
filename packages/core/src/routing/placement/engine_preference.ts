/**
 * Prefers engines for a stream by their load and speed. Answers engines of uneven speed:
 * slow ones get less, and those that can't bring a stream's events in time get it only
 * if no other engine has room.
 */
import type { EndpointId } from "../../common/ids.ts";
import type { EngineSpeeds } from "./engine_speeds.ts";
import { heldTokens, type StreamLoad } from "./memory_forecast.ts";

/** What a stream's events are like. */
export interface EventTimes {
  readonly tokensPerEvent: number;
  /** Longest permitted gap between them; null if there is none. */
  readonly maxGapMs: number | null;
}

/** An engine's place among those that have room; smaller values come first. */
export interface EnginePreference {
  /** Whether the stream's first event or its gaps would be late there. */
  readonly isTooSlow: boolean;
  /** Memory in use in tokens, as a multiple for engines slower than the typical one. */
  readonly weightedTokens: number;
}

/** Returns an engine's preference. With equal speeds it depends on the load only. */
export function preferenceOf(
  engine: EndpointId,
  { streams, request, speeds, speedOf }: {
    streams: readonly StreamLoad[];
    request: { readonly spareMs: number; readonly events?: EventTimes };
    speeds: EngineSpeeds;
    /** Speed as a multiple of the typical one. */
    speedOf: (engine: EndpointId) => number;
  },
): EnginePreference {
  const tokens = streams.reduce((sum, running) => sum + heldTokens(running), 0);
  const relative = speedOf(engine);
  const measured = relative < 1 ? speeds.measured("decode", engine) : null;
  return {
    isTooSlow: measured !== null && isLate(request, { measured, relative }),
    weightedTokens: tokens / relative,
  };
}

/** Orders engines by preference. */
export function compareEngines(
  a: EnginePreference,
  b: EnginePreference,
): number {
  return Number(a.isTooSlow) - Number(b.isTooSlow) ||
    a.weightedTokens - b.weightedTokens;
}

// The time that a stream can spare is left after an engine of typical speed has
// generated its first event.
function isLate(
  { spareMs, events }: {
    readonly spareMs: number;
    readonly events?: EventTimes;
  },
  { measured, relative }: { measured: number; relative: number },
): boolean {
  if (!events) return false;
  const gapMs = events.tokensPerEvent / measured;
  const firstExtraMs = gapMs * (1 - relative);
  return firstExtraMs > spareMs || gapMs > (events.maxGapMs ?? Infinity);
}
