/** Local view of one prefill replica's prefix cache. A wrong entry costs only time. */
import type { CacheEvent } from "../ports/engines.ts";

const MAX_HINT_AGE_MS = 120_000;
const MAX_HINTS = 20_000;
/** Prompt tokens per cache block. */
export const BLOCK_TOKENS = 32;

/** Hints about the blocks that a prefix cache holds; each expires with age. */
export class PrefixHints {
  #seenAtMs = new Map<string, number>();
  #sequence = 0;

  /** Sequence number of the last cache event that was applied; 0 before the first. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Records that a prefill has put blocks into the cache. */
  add(blocks: readonly string[], nowMs: number): void {
    for (const block of blocks) this.#record(block, nowMs);
  }

  /**
   * Applies cache events in order, skipping those already applied; a gap in
   * their sequence numbers drops all hints.
   */
  applyEvents(events: readonly CacheEvent[], nowMs: number): void {
    const ordered = [...events].sort((a, b) => a.sequence - b.sequence);
    for (const event of ordered) {
      if (event.sequence <= this.#sequence) continue;
      const hasGap = this.#sequence > 0 && event.sequence > this.#sequence + 1;
      if (hasGap) this.#seenAtMs.clear();
      this.#sequence = event.sequence;
      if (event.kind === "added") this.#record(event.block, nowMs);
      else this.#seenAtMs.delete(event.block);
    }
  }

  /** Number of leading prompt tokens that are probably cached. */
  cachedTokens(blocks: readonly string[], nowMs: number): number {
    let matchedBlocks = 0;
    for (const block of blocks) {
      const seenAtMs = this.#seenAtMs.get(block);
      if (seenAtMs === undefined || nowMs - seenAtMs > MAX_HINT_AGE_MS) break;
      matchedBlocks += 1;
    }
    return matchedBlocks * BLOCK_TOKENS;
  }

  /** Drops all hints and the sequence number, as after a restart of the replica. */
  clear(): void {
    this.#seenAtMs.clear();
    this.#sequence = 0;
  }

  #record(block: string, nowMs: number): void {
    this.#seenAtMs.delete(block);
    this.#seenAtMs.set(block, nowMs);
    if (this.#seenAtMs.size <= MAX_HINTS) return;
    const [oldestBlock] = this.#seenAtMs.keys();
    this.#seenAtMs.delete(oldestBlock!);
  }
}
