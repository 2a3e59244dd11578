/**
 * The load figures that a home adds to its answers, for the choice between shards
 * (`shard_loads.ts`).
 */
import type { EndpointId } from "../../common/ids.ts";
import type { ShardLoad } from "./shard_loads.ts";

/** A figure is told again for this time, so that its cost doesn't grow with the requests. */
const REUSE_MS = 100;
/** A figure of engines that no VM has asked for since says nothing of the shard any more. */
const EXPIRY_MS = 5_000;

interface Figure {
  readonly engines: readonly EndpointId[];
  readonly askedAtMs: number;
  readonly load: ShardLoad;
  readonly atMs: number;
}

/** Addition to an answer of a home; absent in those of earlier builds. */
export interface ToldLoad {
  readonly load?: ShardLoad;
}

/** Computes the figures of the shards that one VM is home for. */
export class ShardFigures {
  #heldTokens: (engines: readonly EndpointId[]) => number;
  #figures = new Map<string, Figure>();

  /** `heldTokens` returns the KV cache in use at engines. */
  constructor(heldTokens: (engines: readonly EndpointId[]) => number) {
    this.#heldTokens = heldTokens;
  }

  /** Returns the load of the engines that a VM asked for. */
  tellOf(shard: string, engines: readonly EndpointId[]): ToldLoad {
    if (engines.length === 0) return {};
    const nowMs = performance.now();
    const known = this.#figures.get(shard);
    if (known && nowMs - known.atMs < REUSE_MS) {
      this.#figures.set(shard, { ...known, askedAtMs: nowMs });
      return { load: known.load };
    }
    return this.#compute(shard, { engines, askedAtMs: nowMs });
  }

  /** Returns the load of the engines of a shard for which VMs asked lately. */
  tell(shard: string): ToldLoad {
    const nowMs = performance.now();
    const known = this.#figures.get(shard);
    if (!known) return {};
    if (nowMs - known.askedAtMs > EXPIRY_MS) {
      this.#figures.delete(shard);
      return {};
    }
    if (nowMs - known.atMs < REUSE_MS) return { load: known.load };
    return this.#compute(shard, known);
  }

  #compute(
    shard: string,
    { engines, askedAtMs }: Pick<Figure, "engines" | "askedAtMs">,
  ): ToldLoad {
    const load = {
      engines: engines.length,
      heldTokens: Math.round(this.#heldTokens(engines)),
    };
    const atMs = performance.now();
    this.#figures.set(shard, { engines, askedAtMs, load, atMs });
    return { load };
  }
}
