/** What is believed of one prefill replica's prefix cache. Wrong beliefs cost only time. */
import type { CacheEvent } from "../ports/engines.ts";

const HINT_AGE_MS = 120_000;
const MAX_HINTS = 20_000;
/** Tokens of one block. */
export const BLOCK_TOKENS = 32;

/** Ageing hints about the blocks that a prefix cache holds. */
export class PrefixHints {
  #seenAtMs = new Map<string, number>();
  #sequence = 0;

  /** The number of the last cache event taken in. */
  get sequence(): number {
    return this.#sequence;
  }

  /** Notes that a prefill has put blocks into the cache. */
  add(blocks: readonly string[], nowMs: number): void {
    for (const block of blocks) this.#note(block, nowMs);
  }

  /** Takes in cache events; a gap in their numbers drops all hints. */
  applyEvents(events: readonly CacheEvent[], nowMs: number): void {
    const ordered = [...events].sort((a, b) => a.sequence - b.sequence);
    for (const event of ordered) {
      if (event.sequence <= this.#sequence) continue;
      const gap = this.#sequence > 0 && event.sequence > this.#sequence + 1;
      if (gap) this.#seenAtMs.clear();
      this.#sequence = event.sequence;
      if (event.kind === "added") this.#note(event.block, nowMs);
      else this.#seenAtMs.delete(event.block);
    }
  }

  /** Tokens of a prompt's head that are believed to be cached. */
  cachedTokens(blocks: readonly string[], nowMs: number): number {
    let matched = 0;
    for (const block of blocks) {
      const seenAtMs = this.#seenAtMs.get(block);
      if (seenAtMs === undefined || nowMs - seenAtMs > HINT_AGE_MS) break;
      matched += 1;
    }
    return matched * BLOCK_TOKENS;
  }

  /** Forgets everything, as after a restart of the replica. */
  clear(): void {
    this.#seenAtMs.clear();
    this.#sequence = 0;
  }

  #note(block: string, nowMs: number): void {
    this.#seenAtMs.delete(block);
    this.#seenAtMs.set(block, nowMs);
    if (this.#seenAtMs.size <= MAX_HINTS) return;
    const [oldest] = this.#seenAtMs.keys();
    this.#seenAtMs.delete(oldest!);
  }
}
