/** What a VM reports to a shard's home: its streams there, and the speeds that it measured. */
import type { EndpointId, ServiceName } from "../../common/ids.ts";
import type { EndpointRecord } from "../endpoint_record.ts";
import type { EndpointRegistry } from "../endpoint_registry.ts";
import type { EngineSpeed } from "./engine_speeds.ts";
import type { LoadReport } from "./home.ts";
import type { StreamLoad } from "./memory_forecast.ts";
import { shardOfEngine } from "./shards.ts";

/** The time of shorter prompts depends more on the connection than on the engine. */
const MIN_PREFILL_TOKENS = 500;
/** Digits of a reported speed. */
const SPEED_DIGITS = 3;

/** One shard of a service's engines. */
export interface Shard {
  readonly service: ServiceName;
  readonly shard: number;
  readonly shardCount: number;
}

/** Returns this VM's streams at the engines of a shard, and the speeds that it measured lately if wanted. */
export function describeShard(
  endpoints: Pick<EndpointRegistry, "all">,
  { service, shard, shardCount }: Shard,
  { withSpeeds }: { withSpeeds: boolean },
): Pick<LoadReport, "loads" | "speeds"> {
  const loads: [EndpointId, readonly StreamLoad[]][] = [];
  const speeds: EngineSpeed[] = [];
  for (const engine of endpoints.all()) {
    const { entry, streams } = engine;
    if (entry.service !== service) continue;
    if (shardOfEngine(engine, shardCount) !== shard) continue;
    if (streams.size > 0) {
      loads.push([entry.id, [...streams].map(roundLoad)]);
    }
    const speed = withSpeeds ? describeSpeed(engine) : null;
    if (speed) speeds.push(speed);
  }
  return speeds.length === 0 ? { loads } : { loads, speeds };
}

/** Returns a stream's load with whole tokens. */
export function roundLoad(load: StreamLoad): StreamLoad {
  return {
    promptTokens: load.promptTokens,
    generatedTokens: load.generatedTokens,
    expectedTokens: Math.round(load.expectedTokens),
    maxTokens: load.maxTokens,
  };
}

/** Records the speed of a prefill; `tookMs` doesn't include the expected wait. */
export function notePrefillSpeed(
  { prefillSpeed }: EndpointRecord,
  { tokens, tookMs }: { tokens: number; tookMs: number },
): void {
  if (tokens >= MIN_PREFILL_TOKENS) prefillSpeed.note(tokens, tookMs);
}

function describeSpeed(
  { entry, decodeSpeed, prefillSpeed }: EndpointRecord,
): EngineSpeed | null {
  const decode = roundSpeed(decodeSpeed.current());
  const prefill = roundSpeed(prefillSpeed.current());
  return decode === null && prefill === null
    ? null
    : { engine: entry.id, decode, prefill };
}

function roundSpeed(speed: number | null): number | null {
  return speed === null ? null : Number(speed.toPrecision(SPEED_DIGITS));
}
