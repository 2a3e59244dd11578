/**
 * Speeds of a shard's engines, as the VMs that use them have measured and reported them.
 *
 * Answers a load on engines of uneven speed: some are slower for good, some for a second
 * at a time. Within measurement noise, all count as equally fast.
 */
import type { EndpointId, VmId } from "../../common/ids.ts";

/** A measurement counts for this time; a slow engine gets streams again after it, which show whether it still is. */
const VALID_MS = 3_000;
/**
 * Engines whose speed differs from the typical one by less than this factor count as
 * equal. Decodes are measured over a quarter of a second, in which events come at even
 * steps; the time of a prefill also includes queueing that the home didn't expect.
 */
const NOISE_FACTORS = { decode: 1.25, prefill: 1.5 };
/** Bounds of the relative speed, so that one wrong measurement has a bounded effect. */
const MIN_RELATIVE = 0.1;
const MAX_RELATIVE = 4;
/** Engines that must have been measured, so that one of them can be told to be slow. */
const MIN_ENGINES = 2;

/** One engine's speed as a VM measured it; null for what it hasn't measured. */
export interface EngineSpeed {
  readonly engine: EndpointId;
  /** Tokens that each stream generates per millisecond. */
  readonly decode: number | null;
  /** Prompt tokens processed per millisecond. */
  readonly prefill: number | null;
}

/** What an engine is measured at. */
export type SpeedKind = "decode" | "prefill";

interface Measurement {
  readonly speed: number;
  readonly atMs: number;
}

/** The newest measurements of all VMs. */
export class EngineSpeeds {
  #measured = {
    decode: new Map<EndpointId, Map<VmId, Measurement>>(),
    prefill: new Map<EndpointId, Map<VmId, Measurement>>(),
  };

  /** Records a VM's measurements; undefined from VMs of earlier builds. */
  note(vm: VmId, speeds: readonly EngineSpeed[] | undefined): void {
    const atMs = performance.now();
    for (const { engine, decode, prefill } of speeds ?? []) {
      this.#note("decode", { engine, vm, speed: decode, atMs });
      this.#note("prefill", { engine, vm, speed: prefill, atMs });
    }
  }

  /** Returns an engine's speed in tokens per millisecond; null if it isn't known. */
  measured(kind: SpeedKind, engine: EndpointId): number | null {
    const oldestMs = performance.now() - VALID_MS;
    const byVm = this.#measured[kind].get(engine);
    const fresh: number[] = [];
    for (const [vm, { speed, atMs }] of byVm ?? []) {
      if (atMs >= oldestMs) fresh.push(speed);
      else byVm!.delete(vm);
    }
    if (byVm?.size === 0) this.#measured[kind].delete(engine);
    return median(fresh);
  }

  /**
   * Returns the speeds of engines as multiples of the typical one among them; 1 for those
   * that aren't known or differ from it by no more than the measurements do.
   */
  relative(
    kind: SpeedKind,
    engines: readonly EndpointId[],
  ): (engine: EndpointId) => number {
    const speeds = new Map<EndpointId, number>();
    for (const engine of engines) {
      const speed = this.measured(kind, engine);
      if (speed !== null) speeds.set(engine, speed);
    }
    return relativeSpeeds(kind, speeds);
  }

  #note(
    kind: SpeedKind,
    { engine, vm, speed, atMs }: {
      engine: EndpointId;
      vm: VmId;
      speed: number | null;
      atMs: number;
    },
  ): void {
    if (speed === null || !Number.isFinite(speed) || speed <= 0) return;
    const byVm = this.#measured[kind].get(engine) ?? new Map();
    byVm.set(vm, { speed, atMs });
    this.#measured[kind].set(engine, byVm);
  }
}

/**
 * Returns the speeds as multiples of the typical one; 1 for unknown ones and for those
 * that differ from it by no more than measurements do.
 */
export function relativeSpeeds<Key>(
  kind: SpeedKind,
  speeds: ReadonlyMap<Key, number>,
): (key: Key) => number {
  const typical = median([...speeds.values()]);
  if (typical === null || speeds.size < MIN_ENGINES) return () => 1;
  const noise = NOISE_FACTORS[kind];
  return (key) => {
    const relative = (speeds.get(key) ?? typical) / typical;
    if (relative < noise && relative > 1 / noise) return 1;
    return Math.min(MAX_RELATIVE, Math.max(MIN_RELATIVE, relative));
  };
}

function median(values: readonly number[]): number | null {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? null;
}
