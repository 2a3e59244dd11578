/**
 * Chooses which shard of a service's engines a stream asks first, by the loads that the
 * shards' homes tell in answers that they give anyway.
 *
 * Answers a load that differs between shards, as their sizes do: an engine's shard is
 * drawn by a hash of its id. All VMs see the same figures, up to seconds old, so that a
 * VM that always chose the least loaded shard would do so together with all others.
 * Shards are therefore drawn at random by their free memory, and a VM's own streams since
 * a figure was told count as load until the next one.
 */
import type { StreamLoad } from "../placement/memory_forecast.ts";
import { heldTokens } from "../placement/memory_forecast.ts";

/** Age from which a figure says nothing: most streams that it counts have ended. */
const STALE_MS = 3_000;
/** Free share that a fuller shard counts as having, so that it is drawn now and then and its figure is renewed. */
const MIN_FREE_SHARE = 0.2;
/**
 * Exponent of the free share in the weight of a shard. Streams run for about as long as a
 * figure is used, so that a weight which follows the free memory more than in proportion
 * doesn't swing: in the model of `shard_choice_test.ts`, exponents of 1, 2 and 4 leave the
 * fullest of four shards 12, 11 and 9 in 100 above the mean at 71 VMs.
 */
const FREE_EXPONENT = 4;

/** Load of a shard's engines, as told by its home. */
export interface ShardLoad {
  /** Engines that the figure is about. */
  readonly engines: number;
  /** KV cache in use, in tokens. */
  readonly heldTokens: number;
}

interface KnownLoad extends ShardLoad {
  readonly atMs: number;
  /** KV cache of this VM's streams since. */
  ownTokens: number;
}

/** A shard in question, and the number of its engines that may take a stream. */
export interface ShardCandidate {
  readonly key: string;
  readonly engines: number;
}

/** The newest load figure of each shard. */
export class ShardLoads {
  #loads = new Map<string, KnownLoad>();

  /** Records what a home told of its shard; undefined if it told nothing. */
  note(shard: string, load: ShardLoad | null | undefined): void {
    if (!isValid(load)) return;
    this.#loads.set(shard, { ...load, atMs: performance.now(), ownTokens: 0 });
  }

  /** Counts a stream that this VM has placed on a shard. */
  notePlaced(shard: string, stream: StreamLoad): void {
    const known = this.#loads.get(shard);
    if (known) known.ownTokens += heldTokens(stream);
  }

  /** Whether the load of one of the shards is known. */
  knows(shards: readonly ShardCandidate[]): boolean {
    return shards.some(({ key }) => this.#freshLoad(key) !== undefined);
  }

  /**
   * Returns the shards in the order in which a stream asks them. One whose load isn't
   * known is taken for as free as the others on average.
   */
  order<T extends ShardCandidate>(
    shards: readonly T[],
    { kvTokens, random }: { kvTokens: number; random: () => number },
  ): T[] {
    const known = new Map(shards.flatMap((shard) => {
      const load = this.#freshLoad(shard.key);
      return load ? [[shard, freeShareOf(load, kvTokens)]] : [];
    }));
    const sum = [...known.values()].reduce((total, share) => total + share, 0);
    const meanShare = known.size === 0 ? 1 : sum / known.size;
    return drawAll(shards, {
      weightOf: (shard) =>
        shard.engines * (known.get(shard) ?? meanShare) ** FREE_EXPONENT,
      random,
    });
  }

  #freshLoad(key: string): KnownLoad | undefined {
    const load = this.#loads.get(key);
    if (!load || performance.now() - load.atMs < STALE_MS) return load;
    this.#loads.delete(key);
    return undefined;
  }
}

function isValid(load: ShardLoad | null | undefined): load is ShardLoad {
  return Number.isFinite(load?.heldTokens) && load!.heldTokens >= 0 &&
    Number.isFinite(load?.engines) && load!.engines > 0;
}

function freeShareOf(load: KnownLoad, kvTokens: number): number {
  const perEngine = (load.heldTokens + load.ownTokens) / load.engines;
  return Math.max(MIN_FREE_SHARE, 1 - perEngine / kvTokens);
}

// Each next item is drawn among those that are left, by weight.
function drawAll<T>(
  items: readonly T[],
  { weightOf, random }: { weightOf: (item: T) => number; random: () => number },
): T[] {
  const left = [...items];
  const drawn: T[] = [];
  while (left.length > 0) {
    const sum = left.reduce((total, item) => total + weightOf(item), 0);
    let at = random() * sum;
    const index = left.findIndex((item) => (at -= weightOf(item)) < 0);
    drawn.push(...left.splice(index < 0 ? left.length - 1 : index, 1));
  }
  return drawn;
}
